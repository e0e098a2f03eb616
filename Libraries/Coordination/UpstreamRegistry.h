#pragma once

#include "State/Instant.h"
#include "State/UpstreamAnnouncement.h"

#include <deque>
#include <string>
#include <utility>
#include <vector>

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

  /// Adds departures that earlier processes of this node recorded. Until the
  /// first call no upstream is ready, because it may be leaving.
  /// @param aIsComplete false if an earlier process may have recorded more.
  /// Until a call with true, an upstream is ready only once it has announced
  /// itself twice, because a single announcement may be a late one of a run
  /// that left.
  /// @return true if any of the departures was not known.
  bool Restore(const std::vector<state::UpstreamIdentity>& aDeparted,
               bool aIsComplete,
               state::Instant aNow);

  /// Adds departures without a word on whether there are more.
  /// @return true if any of them was not known.
  bool AddDepartures(const std::vector<state::UpstreamIdentity>& aDeparted,
                     state::Instant aNow);

  /// @return the departures that messages told since the last call of this
  ///         function.
  std::vector<state::UpstreamIdentity> TakeDepartures()
  {
    return std::exchange(newDepartures_, {});
  }

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

  /// How much of what earlier processes recorded is known.
  enum class Restored : std::uint8_t
  {
    Nothing,
    Partly,
    Completely,
  };

  bool HasDeparted(const state::UpstreamIdentity& aUpstream) const;
  /// @return false if it was known.
  bool RecordDeparture(const state::UpstreamIdentity& aUpstream,
                       state::Instant aNow);
  /// Fills in the start time of a departure that named none, once an
  /// announcement of the same run arrives.
  void ResolveDeparture(const state::UpstreamIdentity& aUpstream,
                        state::Instant aNow);
  bool IsSuperseded(const state::UpstreamIdentity& aUpstream,
                    state::Instant aNow);
  /// Records a departure that a message told, so that it has to be saved.
  void AnnounceDeparture(const state::UpstreamIdentity& aUpstream,
                         state::Instant aNow);
  bool IsLeaving() const;
  /// @return true if an announcement suffices to make the current run ready.
  bool IsConfirmed() const;
  void BeginDrain(const state::UpstreamIdentity& aUpstream,
                  state::Instant aNow);

  std::string service_;
  std::string address_;
  state::Duration drainLimit_;
  state::UpstreamIdentity current_;
  state::EndpointState state_ = state::EndpointState::Starting;
  /// Of the current run.
  state::Instant firstAnnouncementAt_{ 0 };
  state::Instant lastAnnouncementAt_{ 0 };
  state::Instant goneAt_ = state::Instant::max();
  /// Sorted by time of receipt, newest last.
  std::deque<Departure> departures_;
  std::vector<state::UpstreamIdentity> newDepartures_;
  /// The last run that announced itself with an earlier start time than the
  /// current run.
  state::UpstreamIdentity earlierRun_;
  Restored restored_ = Restored::Nothing;
  state::EndpointState reportedState_ = state::EndpointState::Starting;
  state::UpstreamIdentity reportedUpstream_;
};

} // namespace teaselhold::coordination
