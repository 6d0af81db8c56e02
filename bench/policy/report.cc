#include "policy/report.h"

#include <iomanip>
#include <ostream>
#include <string>

namespace citronlane {
namespace {

constexpr double kPercent = 100;

void WriteRow(const RunResult& result, std::ostream* out) {
  const auto percent = [](double part) { return part * kPercent; };
  *out << "| " << result.scenario_ << " | " << result.policy_ << " | "
       << percent(result.interactive_.MetOfOffered()) << " | "
       << percent(result.interactive_.MetOfAdmitted()) << " | "
       << percent(result.SmallAccounts()) << " | " << percent(result.Goodput())
       << " | " << std::setprecision(0) << result.Cost() / 1000
       << std::setprecision(1) << " | " << std::setprecision(3)
       << result.RetryAmplification() << std::setprecision(1) << " | "
       << percent(result.HedgeCostRatio()) << " |\n";
}

template <typename Map, typename Write>
void WriteObject(const std::string& key,
                 const Map& map,
                 const Write& write,
                 std::ostream* out) {
  *out << ",\n  \"" << key << "\": {";
  const char* separator = "";
  for (const auto& [name, value] : map) {
    *out << separator << "\"" << name << "\": ";
    write(value);
    separator = ", ";
  }
  *out << "}";
}

void WriteTally(const Tally& tally, std::ostream* out) {
  *out << "{\"offered\": " << tally.offered_
       << ", \"admitted\": " << tally.admitted_ << ", \"met\": " << tally.met_
       << ", \"failed\": " << tally.failed_ << "}";
}

void WriteResult(const RunResult& result, std::ostream* out) {
  const auto tally = [out](const Tally& value) { WriteTally(value, out); };
  const auto number = [out](auto value) { *out << value; };
  *out << " {\"name\": \"" << result.deployment_ << "/" << result.scenario_
       << "/" << result.policy_
       << "\",\n  \"met_of_offered\": " << result.interactive_.MetOfOffered()
       << ", \"met_of_admitted\": " << result.interactive_.MetOfAdmitted()
       << ", \"small_accounts\": " << result.SmallAccounts()
       << ", \"goodput\": " << result.Goodput()
       << ", \"cost\": " << result.Cost()
       << ", \"retry_amplification\": " << result.RetryAmplification()
       << ", \"hedge_cost\": " << result.HedgeCostRatio()
       << ", \"first_calls\": " << result.first_calls_
       << ", \"hedge_calls\": " << result.hedge_calls_
       << ", \"retry_calls\": " << result.retry_calls_;
  WriteObject("classes", result.by_class_, tally, out);
  WriteObject("accounts", result.by_account_, tally, out);
  WriteObject("cost_by_stage", result.cost_by_stage_, number, out);
  WriteObject("refusals", result.refusals_, number, out);
  WriteObject("failures", result.failures_, number, out);
  WriteObject("hedges", result.hedges_, number, out);
  WriteObject("retries", result.retries_, number, out);
  *out << "}";
}

}  // namespace

void WriteMarkdown(absl::Span<const RunResult> results, std::ostream* out) {
  *out << std::fixed << std::setprecision(1);
  std::string deployment;
  for (const RunResult& result : results) {
    if (result.deployment_ != deployment) {
      deployment = result.deployment_;
      *out << "\n### " << deployment << "\n\n"
           << "| scenario | policy | met, % of offered | met, % of admitted |"
           << " small accounts, % of offered | goodput, % of slots | cost, k |"
           << " retry ampl. | hedge cost, % |\n"
           << "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    }
    WriteRow(result, out);
  }
}

void WriteJson(absl::Span<const RunResult> results, std::ostream* out) {
  *out << std::setprecision(6) << "{\"benchmarks\": [\n";
  for (size_t i = 0; i < results.size(); ++i) {
    WriteResult(results[i], out);
    *out << (i + 1 < results.size() ? ",\n" : "\n");
  }
  *out << "]}\n";
}

}  // namespace citronlane
