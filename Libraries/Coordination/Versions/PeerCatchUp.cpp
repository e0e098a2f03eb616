#include "Coordination/Versions/PeerCatchUp.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// How long a version may be missing while calls of the store are held back, so
/// that it will not come in the node's own way.
constexpr state::Duration kClosedWayTime = std::chrono::milliseconds(200);
/// Nodes that are asked at the same time; one of them may have ended, or miss
/// the version as well.
constexpr std::size_t kAskedNodes = 2;

} // namespace

bool
PeerCatchUp::Tick(const VersionProgress& aProgress,
                  const state::EndpointTable& aNodes,
                  state::Instant aNow,
                  Commands& aCommands)
{
  if (aProgress.active == 0) {
    return false;
  }
  if (versions_.TakeCheckDue(aProgress.known, WaitFor(aProgress), aNow)) {
    Log(aProgress, aCommands);
    changes_.Ask(
      SelectNodes(aProgress.reader, aNodes), aProgress.active, aNow, aCommands);
  }
  return changes_.TakeFailed(aNow);
}

state::Duration
PeerCatchUp::WaitFor(const VersionProgress& aProgress)
{
  if (aProgress.isHeldBack) {
    return kClosedWayTime;
  }
  const auto missing = versions_.MissingSince(aProgress.known);
  if (!missing || !aProgress.watchingSince) {
    return aProgress.usualTime;
  }
  const auto watched =
    std::max(state::Duration{ 0 }, *aProgress.watchingSince - *missing);
  return std::min(aProgress.usualTime, watched + aProgress.reportTime);
}

std::vector<std::string>
PeerCatchUp::SelectNodes(const std::string& aReader,
                         const state::EndpointTable& aNodes)
{
  std::vector<std::string> selected;
  if (!aReader.empty()) {
    // Readers have versions before the others.
    selected.push_back(aReader);
  }
  std::vector<std::string> others;
  for (const auto* record : aNodes.All()) {
    if (record->state == state::EndpointState::Ready &&
        record->node != ownNode_ && record->dataAddress != aReader) {
      others.push_back(record->dataAddress);
    }
  }
  const auto missing = kAskedNodes - selected.size();
  std::ranges::move(random_.Sample(std::move(others), missing),
                    std::back_inserter(selected));
  return selected;
}

void
PeerCatchUp::Log(const VersionProgress& aProgress, Commands& aCommands) const
{
  const auto flag = [](bool aIsSet) { return aIsSet ? "yes" : "no"; };
  aCommands.push_back(
    WriteLog{ LogLevel::Warning,
              "config",
              "Other nodes know of a newer version. generation=" +
                std::to_string(aProgress.active) +
                " newest=" + std::to_string(versions_.Newest()) +
                " following=" + flag(aProgress.isFollowing) +
                " watching=" + flag(aProgress.watchingSince.has_value()) +
                " store_held_back=" + flag(aProgress.isHeldBack) });
}

} // namespace teaselhold::coordination
