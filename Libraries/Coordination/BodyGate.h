#pragma once

#include "Coordination/CallTypes.h"

#include <deque>
#include <variant>
#include <vector>

namespace teaselhold::coordination {

/// A large body that another node wants to send.
struct BodyRequest
{
  std::uint64_t id = 0;
  std::uint64_t bytes = 0;
  /// How long the request may wait in all.
  state::Duration maxWait{ 0 };
};

/// The body may be sent now.
struct InviteBody
{};

/// The body is invited by a later release, or refused at this time.
struct BodyWait
{
  state::Instant until;
};

using BodyDecision = std::variant<InviteBody, BodyWait, NotRun>;

/// Decides when other nodes send large bodies to this one. The load that it
/// answers: uploads that nearly fill a slow link of the host. Bodies that all
/// come at once would queue in the link, and small requests behind them; here
/// they wait at their senders, in order of arrival. The next one is invited
/// before the last bytes of the one before have come, so that the link does not
/// idle. A refusal costs none of the
/// body's bytes. Belongs to one thread.
class BodyGate
{
public:
  /// @param aBytesPerSecond bandwidth of the link.
  explicit BodyGate(double aBytesPerSecond);

  /// All bytes of an invited body are given back with Finish(); a waiting one
  /// ends with a release and Finish(), or with GiveUp().
  BodyDecision Decide(const BodyRequest& aRequest, state::Instant aNow);

  /// Bytes of an invited body have arrived, or will not come.
  /// @return waiting bodies that are invited now.
  std::vector<std::uint64_t> Finish(std::uint64_t aBytes);

  /// A waiting body is not wanted any more.
  void GiveUp(std::uint64_t aId);

  /// Time until a body that comes now may be sent.
  state::Duration PredictedWait() const;

private:
  bool HasRoom(std::uint64_t aBytes) const;

  double bytesPerSecond_;
  std::uint64_t arriving_ = 0;
  std::uint64_t waitingBytes_ = 0;
  std::deque<BodyRequest> waiting_;
};

} // namespace teaselhold::coordination
