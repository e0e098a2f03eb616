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
  /// Maximum total wait of the request.
  state::Duration maxWait{ 0 };
};

/// The body may be sent now.
struct InviteBody
{};

/// The body is queued. A later Finish() invites it, or it is refused at this
/// time.
struct BodyWait
{
  state::Instant until;
};

using BodyDecision = std::variant<InviteBody, BodyWait, NotRun>;

/// Decides when other nodes may send large bodies to this one. Uploads can
/// nearly saturate a slow link of the host; bodies that all arrived at once
/// would queue in the link and delay small requests behind them. Instead they
/// wait at their senders, in order of arrival. The next body is invited before
/// the last bytes of the previous one have arrived, so that the link does not
/// idle. A refused body transfers no bytes. Not thread-safe.
class BodyScheduler
{
public:
  /// @param aBytesPerSecond bandwidth of the link.
  explicit BodyScheduler(double aBytesPerSecond);

  /// The caller must report all bytes of an invited body with Finish(). A
  /// queued body ends with an invitation and Finish(), or with Cancel().
  BodyDecision Decide(const BodyRequest& aRequest, state::Instant aNow);

  /// Reports bytes of an invited body that have arrived or will not arrive.
  /// @return the ids of the queued bodies that are invited now.
  std::vector<std::uint64_t> Finish(std::uint64_t aBytes);

  /// Removes a queued body that is no longer needed.
  void Cancel(std::uint64_t aId);

  /// Returns the predicted wait of a body that is requested now.
  state::Duration PredictedWait() const;

private:
  bool HasRoom(std::uint64_t aBytes) const;

  double bytesPerSecond_;
  std::uint64_t arrivingBytes_ = 0;
  std::uint64_t waitingBytes_ = 0;
  std::deque<BodyRequest> waiting_;
};

} // namespace teaselhold::coordination
