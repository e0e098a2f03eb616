#pragma once

#include "State/Instant.h"
#include "State/UpstreamAnnouncement.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// Result of processing a message of an upstream.
enum class AnnouncementVerdict : std::uint8_t
{
  Taken,
  /// Late or repeated, or from a run that has ended or is already leaving.
  Stale,
  /// The service or address is not the one that this node serves.
  Foreign,
};

inline constexpr std::array<state::EnumName<AnnouncementVerdict>, 3>
  kAnnouncementVerdictNames{ {
    { AnnouncementVerdict::Taken, "taken" },
    { AnnouncementVerdict::Stale, "stale" },
    { AnnouncementVerdict::Foreign, "foreign" },
  } };

/// Tracks the state of the upstream beside this node from its announcements,
/// which may be late, repeated, or from a run that has ended. A run is the
/// lifetime of one process of the upstream. A run that has announced its
/// departure never becomes ready again.
class UpstreamRegistry
{
public:
  /// @param aDrainLimit time after the acknowledgement of a departure during
  ///        which requests that already wait may still be delivered.
  UpstreamRegistry(std::string aService,
                   std::string aAddress,
                   state::Duration aDrainLimit);

  /// Applies to departures from now on.
  void SetDrainLimit(state::Duration aDrainLimit) { drainLimit_ = aDrainLimit; }

  AnnouncementVerdict Announce(const state::UpstreamAnnouncement& aMessage,
                               state::Instant aNow);
  AnnouncementVerdict Depart(const state::UpstreamDeparture& aMessage,
                             state::Instant aNow);

  /// Restores the departure that an earlier process of this node recorded, if
  /// any. Until this call no upstream is ready, because it may be leaving.
  void Restore(const std::optional<state::UpstreamIdentity>& aDeparture,
               state::Instant aNow);

  /// Marks the upstream as not ready after it refused a connection or turned
  /// out to be a different one than announced. Its next announcement makes it
  /// ready again.
  void MarkUnreachable();

  /// Updates the state for the current time: a leaving upstream is gone after
  /// the drain limit.
  void Tick(state::Instant aNow);

  state::EndpointState State() const;

  /// @return the upstream of the newest accepted message; its id is empty if
  ///         there was none.
  const state::UpstreamIdentity& Upstream() const { return current_; }

  /// @return true if the state, the run or its number of slots changed since
  ///         the last call of this function.
  bool TakeChanged();

private:
  /// A run that announced its departure. Its start time is 0 while unknown.
  struct Departure
  {
    state::UpstreamIdentity upstream;
    state::Instant receivedAt;
  };

  bool HasDeparted(const state::UpstreamIdentity& aUpstream) const;
  void RecordDeparture(const state::UpstreamIdentity& aUpstream,
                       state::Instant aNow);
  /// Fills in the start time of a departure that named none, once an
  /// announcement of the same run arrives.
  void ResolveDeparture(const state::UpstreamIdentity& aUpstream,
                        state::Instant aNow);
  bool IsSuperseded(const state::UpstreamIdentity& aUpstream,
                    state::Instant aNow);
  void BeginDrain(const state::UpstreamIdentity& aUpstream,
                  state::Instant aNow);

  std::string service_;
  std::string address_;
  state::Duration drainLimit_;
  state::UpstreamIdentity current_;
  state::EndpointState state_ = state::EndpointState::Starting;
  state::Instant lastAnnouncementAt_{ 0 };
  state::Instant goneAt_ = state::Instant::max();
  /// Sorted by time of receipt, newest last.
  std::deque<Departure> departures_;
  /// The last run that announced itself with an earlier start time than the
  /// current run.
  state::UpstreamIdentity earlierRun_;
  bool isRestored_ = false;
  state::EndpointState reportedState_ = state::EndpointState::Starting;
  state::UpstreamIdentity reportedUpstream_;
};

} // namespace teaselhold::coordination
