#include "policy/traffic.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace citronlane {
namespace {

constexpr double kMeanTokensOverFewest = 41;
constexpr uint32_t kFewestTokens = 8;
constexpr uint32_t kMostTokens = 128;
/// Number of different prefixes of the prompts; the first ones are most
/// frequent.
constexpr int kPrefixes = 240;
constexpr double kPrefixSkew = 2;
constexpr double kWorkSpread = 0.35;

class Drawer {
 public:
  Drawer(const Deployment& deployment, const Scenario& scenario, uint64_t seed)
      : deployment_(deployment), scenario_(scenario), random_(seed) {}

  bool InBurst(Duration at) const {
    return at >= scenario_.burst_from_ && at < scenario_.burst_to_;
  }

  /// Requests per second without the growth of a single account.
  double Rate(Duration at) const {
    const double load = InBurst(at) ? scenario_.burst_load_ : scenario_.load_;
    return load * deployment_.capacity_;
  }

  /// Factor by which the growing account increases the total rate.
  double Growth(Duration at) const {
    return 1 + AccountPart() * (AccountFactor(at) - 1);
  }

  Duration NextGap(Duration at) {
    std::exponential_distribution<double> gap(Rate(at) * Growth(at));
    return Duration(static_cast<Duration::rep>(gap(random_) * 1e6) + 1);
  }

  RequestSpec Draw(Duration at) {
    RequestSpec spec;
    spec.arrival_ = TimePoint(at);
    spec.gateway_draw_ = random_();
    spec.account_ = DrawAccount(at);
    const std::string class_name = DrawShare(deployment_.classes_);
    spec.class_ = &deployment_.config_.classes_.at(class_name);
    spec.pipeline_ = &deployment_.config_.pipelines_.at(
        deployment_.pipeline_of_.at(class_name));
    spec.prefix_ = DrawPrefix();
    std::exponential_distribution<double> tokens(1 / kMeanTokensOverFewest);
    spec.tokens_ = std::min(
        kMostTokens, kFewestTokens + static_cast<uint32_t>(tokens(random_)));
    spec.max_tokens_ = kMostTokens;
    std::lognormal_distribution<double> work(-kWorkSpread * kWorkSpread / 2,
                                             kWorkSpread);
    for (size_t i = 0; i < spec.pipeline_->stages_.size(); ++i) {
      spec.work_.push_back(work(random_));
    }
    return spec;
  }

 private:
  double AccountPart() const {
    for (const Deployment::Share& account : deployment_.accounts_) {
      if (account.name_ == scenario_.account_) {
        return account.part_;
      }
    }
    return 0;
  }

  double AccountFactor(Duration at) const {
    // Factor 0 removes the account's traffic from the whole run.
    const bool applies = InBurst(at) || scenario_.account_factor_ == 0;
    return applies ? scenario_.account_factor_ : 1;
  }

  std::string DrawShare(const std::vector<Deployment::Share>& shares) {
    double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    for (const Deployment::Share& share : shares) {
      draw -= share.part_;
      if (draw < 0) {
        return share.name_;
      }
    }
    return shares.back().name_;
  }

  std::string DrawAccount(Duration at) {
    std::vector<Deployment::Share> shares = deployment_.accounts_;
    for (Deployment::Share& share : shares) {
      const double factor =
          share.name_ == scenario_.account_ ? AccountFactor(at) : 1;
      share.part_ *= factor / Growth(at);
    }
    return DrawShare(shares);
  }

  uint64_t DrawPrefix() {
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    const auto rank =
        static_cast<uint64_t>(kPrefixes * std::pow(draw, kPrefixSkew));
    return (rank + 1) * 0x9e3779b97f4a7c15U;
  }

  const Deployment& deployment_;
  const Scenario& scenario_;
  std::mt19937_64 random_;
};

}  // namespace

std::vector<RequestSpec> MakeTraffic(const Deployment& deployment,
                                     const Scenario& scenario,
                                     uint64_t seed) {
  Drawer drawer(deployment, scenario, seed);
  std::vector<RequestSpec> traffic;
  Duration at = drawer.NextGap(Duration::zero());
  while (at < scenario.length_) {
    traffic.push_back(drawer.Draw(at));
    at += drawer.NextGap(at);
  }
  return traffic;
}

}  // namespace citronlane
