#include "Coordination/CrashReports.h"

#include <utility>

namespace teaselhold::coordination {

namespace {

constexpr std::size_t kFanOut = 4;
constexpr unsigned kSendRounds = 2;
/// Longer than a report takes to reach all relays, so that late copies are
/// recognized as duplicates.
constexpr state::Duration kReportRetention = std::chrono::minutes(10);

} // namespace

CrashReports::CrashReports(std::uint64_t aSeed)
  : random_(aSeed)
{
}

void
CrashReports::Add(std::uint64_t aFingerprint,
                  const std::string& aNode,
                  std::uint64_t aIncarnation,
                  state::Instant aNow)
{
  const Key key{ aFingerprint, aNode, aIncarnation };
  if (!seen_.emplace(key, aNow).second) {
    return;
  }
  pending_[key] = { kSendRounds, true };
  isChanged_ =
    guard_.RecordCrash(aFingerprint, aNode, aIncarnation, aNow) || isChanged_;
}

void
CrashReports::Tick(const PeerDirectory& aPeers,
                   state::Instant aNow,
                   Commands& aCommands)
{
  isChanged_ = guard_.Expire(aNow) || isChanged_;
  std::erase_if(seen_, [&](const auto& aSeen) {
    return aNow - aSeen.second >= kReportRetention;
  });
  SendPending(aPeers, false, aCommands);
}

void
CrashReports::Flush(const PeerDirectory& aPeers, Commands& aCommands)
{
  SendPending(aPeers, true, aCommands);
}

void
CrashReports::SendPending(const PeerDirectory& aPeers,
                          bool aOnlyNew,
                          Commands& aCommands)
{
  if (!aPeers.isRelay && !aPeers.relay) {
    // The reports stay pending until this node is attached to a relay.
    return;
  }
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    auto& [key, pending] = *entry;
    if (aOnlyNew && !pending.isNew) {
      ++entry;
      continue;
    }
    pending.isNew = false;
    SendOne(key, aPeers, aCommands);
    entry =
      --pending.roundsLeft == 0 ? pending_.erase(entry) : std::next(entry);
  }
}

void
CrashReports::SendOne(const Key& aKey,
                      const PeerDirectory& aPeers,
                      Commands& aCommands)
{
  std::vector<Peer> receivers;
  if (aPeers.isRelay) {
    receivers = random_.Sample(aPeers.relays, kFanOut);
    receivers.insert(
      receivers.end(), aPeers.leaves.begin(), aPeers.leaves.end());
  } else {
    receivers.push_back(*aPeers.relay);
  }
  const auto& [fingerprint, node, incarnation] = aKey;
  for (const auto& receiver : receivers) {
    auto& report =
      *AddMessage(aCommands, receiver.controlAddress).mutable_crash_report();
    report.set_fingerprint(fingerprint);
    report.set_node(node);
    report.set_incarnation(incarnation);
  }
}

bool
CrashReports::TakeChanged()
{
  return std::exchange(isChanged_, false);
}

} // namespace teaselhold::coordination
