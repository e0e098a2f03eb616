#pragma once

#include "State/Instant.h"
#include "State/UpstreamAnnouncement.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// What became of a message of an upstream.
enum class AnnouncementVerdict : std::uint8_t
{
  Taken,
  /// Late, or from a run that has ended or is leaving already.
  Stale,
  /// Names another service or address; it is nobody's upstream here.
  Foreign,
};

inline constexpr std::array<state::EnumName<AnnouncementVerdict>, 3>
  kAnnouncementVerdictNames{ {
    { AnnouncementVerdict::Taken, "taken" },
    { AnnouncementVerdict::Stale, "stale" },
    { AnnouncementVerdict::Foreign, "foreign" },
  } };

/// Knows the one upstream beside this node from its announcements, which may be
/// late, repeated, or of a run that has ended. An upstream that said that it
/// leaves never becomes ready again.
class UpstreamRegistry
{
public:
  /// @param aDrainLimit time after the acknowledgement of a leaving in which
  /// requests that already wait may still be delivered.
  UpstreamRegistry(std::string aService,
                   std::string aAddress,
                   state::Duration aDrainLimit);

  /// Holds for leavings from now on.
  void SetDrainLimit(state::Duration aDrainLimit) { drainLimit_ = aDrainLimit; }

  AnnouncementVerdict Announce(const state::UpstreamAnnouncement& aMessage,
                               state::Instant aNow);
  AnnouncementVerdict Depart(const state::UpstreamDeparture& aMessage,
                             state::Instant aNow);

  /// Takes what an earlier process of this node knew. Until then no upstream
  /// is ready, because it may be leaving.
  void Restore(const std::optional<state::UpstreamIdentity>& aLeaving,
               state::Instant aNow);

  /// A connection to the upstream was refused, or it is another one than it
  /// said. Its next announcement makes it ready again.
  void NoteUnreachable();

  /// Moves time on: an upstream that leaves is gone after the drain limit.
  void Tick(state::Instant aNow);

  state::EndpointState State() const;

  /// The upstream that announced itself last; an empty id means none.
  const state::UpstreamIdentity& Upstream() const { return current_; }

  /// True once if the state or the upstream differs from the last call.
  bool TakeChanged();

private:
  /// A run that said that it leaves. Its start time is 0 while it is unknown.
  struct Departure
  {
    state::UpstreamIdentity upstream;
    state::Instant heard;
  };

  bool IsLeaving(const state::UpstreamIdentity& aUpstream) const;
  void Remember(const state::UpstreamIdentity& aUpstream, state::Instant aNow);
  /// Gives a departure that named no start time the one of its run.
  void IdentifyDeparture(const state::UpstreamIdentity& aUpstream,
                         state::Instant aNow);
  bool IsSuperseded(const state::UpstreamIdentity& aUpstream,
                    state::Instant aNow);
  void Leave(const state::UpstreamIdentity& aUpstream, state::Instant aNow);

  std::string service_;
  std::string address_;
  state::Duration drainLimit_;
  state::UpstreamIdentity current_;
  state::EndpointState state_ = state::EndpointState::Starting;
  state::Instant lastHeard_{ 0 };
  state::Instant goneAt_ = state::Instant::max();
  /// The newest last.
  std::deque<Departure> leaving_;
  /// A run that claims to be older than the current one.
  state::UpstreamIdentity challenger_;
  bool isRestored_ = false;
  state::EndpointState toldState_ = state::EndpointState::Starting;
  state::UpstreamIdentity toldUpstream_;
};

} // namespace teaselhold::coordination
