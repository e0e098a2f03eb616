#pragma once

#include "State/Instant.h"

#include <cstdint>

namespace teaselhold::coordination {

/// One request that an upstream has ended.
struct PaceSample
{
  /// Time that the request occupied a slot.
  state::Duration serviceTime{ 0 };
  /// Requests that ran at the upstream when this one ended, with this one.
  std::uint32_t running = 0;
  /// False if the upstream refused, failed or lost the request.
  bool isServed = true;
};

/// Finds how many requests an upstream that has started or recovered can run at
/// the same time, from how it answers.
///
/// The limit starts low. Each request that is served in the usual time while
/// the limit is in use raises it by one, so that it doubles in each service
/// time: a healthy upstream has all of its slots after three or four. Failures
/// beyond those of the others, or service times that grow with the limit, lower
/// it. An upstream
/// that is slow whatever it gets keeps rising, but with time only if it is much
/// slower than the others of its service: a request there would be late, and
/// the others can take it. At all slots the pace ends; what follows is the
/// business of admission and routing.
class UpstreamPace
{
public:
  /// The upstream has started or recovered: the pace begins anew.
  void Begin(std::uint32_t aSlots, state::Instant aNow);

  /// Takes a new number of slots; the limit is not above it.
  void SetSlots(std::uint32_t aSlots) { slots_ = aSlots; }

  /// Takes what the other upstreams of the service show.
  /// @param aServiceTime 0 if it is not known, for example because all of them
  ///        are new.
  /// @param aFailureRate the share of requests that they refuse or fail, for
  ///        example because a service that they call is full.
  void SetUsual(state::Duration aServiceTime, double aFailureRate)
  {
    usual_ = aServiceTime;
    usualFailureRate_ = aFailureRate;
  }

  void OnFinished(const PaceSample& aSample, state::Instant aNow);

  /// @return the requests that may run at the same time, at least 1 and at most
  ///         the slots.
  std::uint32_t Limit(state::Instant aNow) const;

  /// @return false once the upstream may use all of its slots.
  bool IsLimited(state::Instant aNow) const { return Limit(aNow) < slots_; }

private:
  void Learn(state::Duration aServiceTime);
  bool IsFailing() const;
  bool IsCongested() const;
  bool IsSlow() const;
  double ShareThatIsCarried() const;
  void Lower(double aShare, state::Instant aNow);

  std::uint32_t slots_ = 1;
  /// Empty slots of the limit rise with time, so it has a fraction.
  double limit_ = 0;
  bool isEnded_ = true;
  state::Duration usual_{ 0 };
  double usualFailureRate_ = 0;
  /// Smoothed.
  double failureRate_ = 0;
  /// Smoothed service time, and the lowest value that it had.
  state::Duration serviceTime_{ 0 };
  state::Duration lowestServiceTime_{ 0 };
  /// Until then, requests end that ran under the limit of before.
  state::Instant loweredUntil_{ 0 };
  /// When the limit was last raised or lowered by an answer.
  state::Instant changedAt_{ 0 };
};

} // namespace teaselhold::coordination
