// Measures the replicated state: a change of a configuration by its number of
// client accounts, claims, and snapshots.

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>

#include "citronlane/base/sha256.h"
#include "citronlane/fleet/config_follower.h"
#include "citronlane/state/state_limits.h"
#include "citronlane/state/state_machine.h"
#include "control.pb.h"

namespace citronlane {
namespace {

std::string Document(int64_t accounts) {
  std::string text = R"({"classes":{"chat":{"answer_ms":8000}},"accounts":{)";
  for (int64_t i = 0; i < accounts; ++i) {
    const std::string name = "account-" + std::to_string(i);
    text += (i > 0 ? "," : "") + ("\"" + name) + R"(":{"key_digests":[")" +
            Sha256Hex(name) + R"("],"default_class":"chat"})";
  }
  return text + "}}";
}

wire::StateCommand ChangeCommand(uint64_t base) {
  wire::StateCommand command;
  wire::ConfigChange* change = command.mutable_change();
  change->set_base_version(base);
  change->set_change_id("c" + std::to_string(base));
  change->set_history_versions(StateLimits().history_versions_);
  change->set_change_id_window_ms(StateLimits().change_id_window_ms_);
  return command;
}

wire::StateCommand FirstChange(int64_t accounts) {
  wire::StateCommand command = ChangeCommand(0);
  command.mutable_change()->set_document(Document(accounts));
  return command;
}

wire::StateCommand SmallChange(uint64_t base) {
  wire::StateCommand command = ChangeCommand(base);
  command.mutable_change()->set_patch(R"({"classes":{"chat":{"answer_ms":)" +
                                      std::to_string(1000 + base % 9) + "}}}");
  return command;
}

// One small change applied on a control VM.
void ApplyChange(benchmark::State& state) {
  StateMachine machine;
  uint64_t index = 1;
  machine.Apply(index, FirstChange(state.range(0)).SerializeAsString());
  for (auto _ : state) {
    const uint64_t base = machine.config().version();
    machine.Apply(++index, SmallChange(base).SerializeAsString());
  }
  state.counters["document_bytes"] =
      static_cast<double>(machine.config().document().size());
}
BENCHMARK(ApplyChange)->Arg(5)->Arg(500)->Arg(3500);

// The same change followed on a gateway, from its patch.
void FollowChange(benchmark::State& state) {
  StateMachine machine;
  uint64_t index = 1;
  machine.Apply(index, FirstChange(state.range(0)).SerializeAsString());
  ConfigFollower follower;
  Error error;
  wire::ConfigUpdate update;
  update.set_version(1);
  update.set_digest(machine.config().digest());
  update.set_document(machine.config().document());
  if (!follower.Apply(update, &error)) {
    state.SkipWithError(error.message_.c_str());
  }
  for (auto _ : state) {
    state.PauseTiming();
    const uint64_t base = machine.config().version();
    machine.Apply(++index, SmallChange(base).SerializeAsString());
    const wire::ConfigRecord& record = machine.config().history().back();
    update.clear_document();
    update.set_version(record.version());
    update.set_base_version(base);
    update.set_digest(record.digest());
    update.set_patch(record.forward_patch());
    state.ResumeTiming();
    benchmark::DoNotOptimize(follower.Apply(update, &error));
  }
}
BENCHMARK(FollowChange)->Arg(5)->Arg(500)->Arg(3500);

void FillClaims(int64_t count, StateMachine* machine) {
  wire::StateCommand command;
  command.mutable_register_gateway()->mutable_gateway()->set_name("g");
  command.mutable_register_gateway()->mutable_gateway()->set_incarnation(1);
  machine->Apply(1, command.SerializeAsString());
  command.mutable_claim()->mutable_gateway()->set_name("g");
  command.mutable_claim()->mutable_gateway()->set_incarnation(1);
  command.mutable_claim()->set_account("shop");
  command.mutable_claim()->set_max_claims(StateLimits().max_claims_);
  for (int64_t i = 0; i < count; ++i) {
    const std::string key = "order-" + std::to_string(i);
    command.mutable_claim()->set_key(key);
    command.mutable_claim()->set_claim_id(static_cast<uint64_t>(i));
    command.mutable_claim()->set_body_digest(Sha256(key));
    machine->Apply(static_cast<uint64_t>(i) + 2, command.SerializeAsString());
  }
}

void ApplyClaims(benchmark::State& state) {
  for (auto _ : state) {
    StateMachine machine;
    FillClaims(state.range(0), &machine);
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(ApplyClaims)->Arg(1000)->Arg(100000)->Unit(benchmark::kMillisecond);

// Measures the snapshot because it pauses the thread that commits.
void TakeSnapshot(benchmark::State& state) {
  StateMachine machine;
  FillClaims(state.range(0), &machine);
  size_t bytes = 0;
  for (auto _ : state) {
    bytes = machine.TakeSnapshot().size();
  }
  state.counters["snapshot_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(TakeSnapshot)->Arg(1000)->Arg(100000)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace citronlane

BENCHMARK_MAIN();
