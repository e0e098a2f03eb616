#include "Coordination/Accounts/KeyVerification.h"

namespace teaselhold::coordination {

namespace {

/// The age of the latest attestation at which a node asks the store itself, in
/// percent of the bound. What is left covers the report of the data plane,
/// which comes once a second, and a call that times out and is repeated. The
/// range spreads the nodes, of which each tells the others what it learns.
constexpr int kFirstPollPercent = 40;
constexpr int kLastPollPercent = 70;
/// How much older the latest attestation of a version in force may be. A newer
/// version that others attest mostly arrives by itself before.
constexpr int kBehindPollPercent = 15;
constexpr int kHundredPercent = 100;

} // namespace

KeyVerification::KeyVerification(state::Duration aBound, RandomSource& aRandom)
  : rule_{ aBound }
  , random_(aRandom)
{
}

bool
KeyVerification::Tick(const state::ConfigurationPointer& aConfiguration,
                      state::Instant aNow,
                      Commands& aCommands)
{
  if (!rule_.IsStrict() || aConfiguration == nullptr ||
      !aConfiguration->RequiresKeys()) {
    return false;
  }
  const auto generation = aConfiguration->GetGeneration();
  LogState(rule_.MayUseKeys(attestations_, generation, aNow),
           *aConfiguration,
           aNow,
           aCommands);
  const auto verified = attestations_.VerifiedAt(generation);
  if (!verified) {
    return true;
  }
  const auto latest = attestations_.Latest()->time;
  if (latest != drawnFor_) {
    drawnFor_ = latest;
    pollAge_ =
      random_.Between(rule_.bound * kFirstPollPercent / kHundredPercent,
                      rule_.bound * kLastPollPercent / kHundredPercent);
  }
  const auto behindAge =
    pollAge_ + rule_.bound * kBehindPollPercent / kHundredPercent;
  return aNow - latest >= pollAge_ || aNow - *verified >= behindAge;
}

void
KeyVerification::LogState(bool aIsUsable,
                          const state::Configuration& aConfiguration,
                          state::Instant aNow,
                          Commands& aCommands)
{
  if (wasUsable_ == aIsUsable) {
    return;
  }
  wasUsable_ = aIsUsable;
  const auto generation = aConfiguration.GetGeneration();
  const auto verified = attestations_.VerifiedAt(generation);
  const auto age =
    verified
      ? std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                         aNow - *verified)
                         .count())
      : "none";
  aCommands.push_back(WriteLog{
    aIsUsable ? LogLevel::Info : LogLevel::Warning,
    "accounts",
    std::string(aIsUsable ? "Keys are verified." : "Keys are not verified.") +
      " generation=" + std::to_string(generation) + " age_milliseconds=" + age +
      " bound_milliseconds=" +
      std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(rule_.bound)
          .count()) });
}

} // namespace teaselhold::coordination
