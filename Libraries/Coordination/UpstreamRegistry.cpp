#include "Coordination/UpstreamRegistry.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

using state::EndpointState;

constexpr std::size_t kMaxLeaving = 16;
/// After this silence a run with an earlier start may take the place of the
/// current one: the wall clock can have been set back between their starts.
constexpr state::Duration kSilenceOfCurrent = std::chrono::seconds(3);

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
UpstreamRegistry::IsLeaving(const state::UpstreamIdentity& aUpstream) const
{
  return std::ranges::any_of(
    leaving_, [&](const auto& aKnown) { return aKnown.IsSameRun(aUpstream); });
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
  // A late message of an ended run comes once; a live run sends more.
  const bool isRepeated = aUpstream.IsSameRun(challenger_) &&
                          aUpstream.sequence > challenger_.sequence;
  challenger_ = aUpstream;
  return !isRepeated || aNow - lastHeard_ < kSilenceOfCurrent;
}

AnnouncementVerdict
UpstreamRegistry::Announce(const state::UpstreamAnnouncement& aMessage,
                           state::Instant aNow)
{
  if (aMessage.service != service_ || aMessage.address != address_) {
    return AnnouncementVerdict::Foreign;
  }
  const auto& upstream = aMessage.upstream;
  if (IsSuperseded(upstream, aNow)) {
    return AnnouncementVerdict::Stale;
  }
  const bool isNewRun = !upstream.IsSameRun(current_);
  current_ = upstream;
  lastHeard_ = aNow;
  if (aMessage.state == EndpointState::Draining) {
    Leave(upstream, aNow);
  } else if (!IsLeaving(upstream)) {
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
  if (!isCurrent) {
    // Remembered, in case that its announcements arrive later.
    if (aMessage.bornMilliseconds) {
      leaving_.push_back({ aMessage.id, *aMessage.bornMilliseconds, 0, 0 });
    }
    return AnnouncementVerdict::Stale;
  }
  Leave(current_, aNow);
  return AnnouncementVerdict::Taken;
}

void
UpstreamRegistry::Leave(const state::UpstreamIdentity& aUpstream,
                        state::Instant aNow)
{
  if (!IsLeaving(aUpstream)) {
    leaving_.push_back(aUpstream);
  }
  if (leaving_.size() > kMaxLeaving) {
    leaving_.pop_front();
  }
  if (state_ != EndpointState::Draining && state_ != EndpointState::Gone) {
    state_ = EndpointState::Draining;
    goneAt_ = aNow + drainLimit_;
  }
}

void
UpstreamRegistry::Restore(
  const std::optional<state::UpstreamIdentity>& aLeaving,
  state::Instant aNow)
{
  isRestored_ = true;
  if (!aLeaving) {
    return;
  }
  leaving_.push_back(*aLeaving);
  if (aLeaving->IsSameRun(current_)) {
    // How long ago it was acknowledged is not known.
    state_ = EndpointState::Gone;
    goneAt_ = aNow;
  }
}

void
UpstreamRegistry::NoteUnreachable()
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
  const bool isKnown = isRestored_ || state_ != EndpointState::Ready;
  return isKnown ? state_ : EndpointState::Starting;
}

bool
UpstreamRegistry::TakeChanged()
{
  const auto state = State();
  const bool isChanged = state != toldState_ ||
                         !current_.IsSameRun(toldUpstream_) ||
                         current_.slots != toldUpstream_.slots;
  toldState_ = state;
  toldUpstream_ = current_;
  return isChanged;
}

} // namespace teaselhold::coordination
