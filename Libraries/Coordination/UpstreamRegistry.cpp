#include "Coordination/UpstreamRegistry.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

using state::EndpointState;

constexpr std::size_t kMaxDepartures = 16;
/// If the current run is silent for this long, a run with an earlier start time
/// may replace it, because the wall clock may have been set back between their
/// starts.
constexpr state::Duration kCurrentRunTimeout = std::chrono::seconds(3);
/// Upstreams announce themselves at longer intervals than this, so that a
/// sequence number that is too high for the elapsed time shows that the run
/// started earlier.
constexpr state::Duration kShortestAnnouncementInterval =
  std::chrono::milliseconds(500);
/// Announcements that a new run may send without waiting for the interval, for
/// example after a change of state.
constexpr std::uint64_t kExtraAnnouncements = 3;
/// A departure without a start time applies to its id for this long. The run
/// ends within seconds of it, and a later run may reuse the id.
constexpr state::Duration kUnidentifiedDepartureLifetime =
  std::chrono::seconds(30);

/// @return false if aSequence is higher than a run that started aAge ago or
///         later can have reached.
bool
IsSequencePossible(state::Duration aAge, std::uint64_t aSequence)
{
  const auto sent =
    static_cast<std::uint64_t>(aAge / kShortestAnnouncementInterval);
  return aSequence <= sent + kExtraAnnouncements;
}

} // namespace

UpstreamRegistry::UpstreamRegistry(std::string aService,
                                   std::string aAddress,
                                   state::Duration aDrainLimit)
  : service_(std::move(aService))
  , address_(std::move(aAddress))
  , drainLimit_(aDrainLimit)
{
}

bool
UpstreamRegistry::HasDeparted(const state::UpstreamIdentity& aUpstream) const
{
  return std::ranges::any_of(departures_, [&](const auto& aDeparture) {
    return aDeparture.upstream.IsSameRun(aUpstream);
  });
}

bool
UpstreamRegistry::RecordDeparture(const state::UpstreamIdentity& aUpstream,
                                  state::Instant aNow)
{
  if (HasDeparted(aUpstream)) {
    return false;
  }
  departures_.push_back({ aUpstream, aNow });
  if (departures_.size() > kMaxDepartures) {
    departures_.pop_front();
  }
  return true;
}

void
UpstreamRegistry::ResolveDeparture(const state::UpstreamIdentity& aUpstream,
                                   state::Instant aNow)
{
  for (auto& departure : departures_) {
    const auto age = aNow - departure.receivedAt;
    const bool isMatch = departure.upstream.id == aUpstream.id &&
                         departure.upstream.bornMilliseconds == 0 &&
                         age < kUnidentifiedDepartureLifetime &&
                         !IsSequencePossible(age, aUpstream.sequence);
    if (isMatch) {
      departure.upstream.bornMilliseconds = aUpstream.bornMilliseconds;
      newDepartures_.push_back(departure.upstream);
    }
  }
}

bool
UpstreamRegistry::IsSuperseded(const state::UpstreamIdentity& aUpstream,
                               state::Instant aNow)
{
  if (current_.id.empty()) {
    return false;
  }
  if (aUpstream.IsSameRun(current_)) {
    return aUpstream.sequence <= current_.sequence;
  }
  if (aUpstream.bornMilliseconds >= current_.bornMilliseconds) {
    return false;
  }
  // A late message of an ended run arrives once; a live run keeps announcing
  // itself.
  const bool isRepeated = aUpstream.IsSameRun(earlierRun_) &&
                          aUpstream.sequence > earlierRun_.sequence;
  earlierRun_ = aUpstream;
  return !isRepeated || aNow - lastAnnouncementAt_ < kCurrentRunTimeout;
}

AnnouncementVerdict
UpstreamRegistry::Announce(const state::UpstreamAnnouncement& aMessage,
                           state::Instant aNow)
{
  if (aMessage.service != service_ || aMessage.address != address_) {
    return AnnouncementVerdict::Foreign;
  }
  const auto& upstream = aMessage.upstream;
  ResolveDeparture(upstream, aNow);
  if (IsSuperseded(upstream, aNow)) {
    return AnnouncementVerdict::Stale;
  }
  const bool isNewRun = !upstream.IsSameRun(current_);
  current_ = upstream;
  firstAnnouncementAt_ = isNewRun ? aNow : firstAnnouncementAt_;
  lastAnnouncementAt_ = aNow;
  if (aMessage.state == EndpointState::Draining) {
    BeginDrain(upstream, aNow);
  } else if (!HasDeparted(upstream)) {
    state_ = EndpointState::Ready;
    goneAt_ = state::Instant::max();
  } else if (isNewRun) {
    state_ = EndpointState::Draining;
    goneAt_ = aNow;
  }
  return AnnouncementVerdict::Taken;
}

AnnouncementVerdict
UpstreamRegistry::Depart(const state::UpstreamDeparture& aMessage,
                         state::Instant aNow)
{
  const bool isCurrent =
    aMessage.id == current_.id &&
    aMessage.bornMilliseconds.value_or(current_.bornMilliseconds) ==
      current_.bornMilliseconds;
  const state::UpstreamIdentity departed{
    aMessage.id, aMessage.bornMilliseconds.value_or(0), 0, 0
  };
  if (!isCurrent && !current_.id.empty()) {
    // Late announcements of the departed run may still arrive.
    AnnounceDeparture(departed, aNow);
    return AnnouncementVerdict::Stale;
  }
  if (!isCurrent) {
    // This process has received no announcement, because it started while the
    // upstream was leaving.
    current_ = departed;
  }
  BeginDrain(current_, aNow);
  return AnnouncementVerdict::Taken;
}

void
UpstreamRegistry::BeginDrain(const state::UpstreamIdentity& aUpstream,
                             state::Instant aNow)
{
  AnnounceDeparture(aUpstream, aNow);
  if (!IsLeaving()) {
    state_ = EndpointState::Draining;
    goneAt_ = aNow + drainLimit_;
  }
}

void
UpstreamRegistry::AnnounceDeparture(const state::UpstreamIdentity& aUpstream,
                                    state::Instant aNow)
{
  if (RecordDeparture(aUpstream, aNow)) {
    newDepartures_.push_back(aUpstream);
  }
}

bool
UpstreamRegistry::IsLeaving() const
{
  return state_ == EndpointState::Draining || state_ == EndpointState::Gone;
}

bool
UpstreamRegistry::Restore(const std::vector<state::UpstreamIdentity>& aDeparted,
                          bool aIsComplete,
                          state::Instant aNow)
{
  restored_ =
    aIsComplete ? Restored::Completely : std::max(restored_, Restored::Partly);
  return AddDepartures(aDeparted, aNow);
}

bool
UpstreamRegistry::AddDepartures(
  const std::vector<state::UpstreamIdentity>& aDeparted,
  state::Instant aNow)
{
  bool isChanged = false;
  for (const auto& run : aDeparted) {
    isChanged = RecordDeparture(run, aNow) || isChanged;
  }
  if (HasDeparted(current_) && !IsLeaving()) {
    // The time of the acknowledgement is unknown, so the drain limit is treated
    // as passed.
    state_ = EndpointState::Gone;
    goneAt_ = aNow;
  }
  return isChanged;
}

bool
UpstreamRegistry::IsConfirmed() const
{
  switch (restored_) {
    case Restored::Partly:
      return lastAnnouncementAt_ - firstAnnouncementAt_ >=
             kShortestAnnouncementInterval;
    case Restored::Completely:
      return true;
    default:
      return false;
  }
}

void
UpstreamRegistry::MarkUnreachable()
{
  if (state_ == EndpointState::Ready) {
    state_ = EndpointState::Starting;
  }
}

void
UpstreamRegistry::Tick(state::Instant aNow)
{
  if (state_ == EndpointState::Draining && aNow >= goneAt_) {
    state_ = EndpointState::Gone;
  }
}

state::EndpointState
UpstreamRegistry::State() const
{
  const bool isKnown = state_ != EndpointState::Ready || IsConfirmed();
  return isKnown ? state_ : EndpointState::Starting;
}

bool
UpstreamRegistry::TakeChanged()
{
  const auto state = State();
  const bool isChanged = state != reportedState_ ||
                         !current_.IsSameRun(reportedUpstream_) ||
                         current_.slots != reportedUpstream_.slots;
  reportedState_ = state;
  reportedUpstream_ = current_;
  return isChanged;
}

} // namespace teaselhold::coordination
