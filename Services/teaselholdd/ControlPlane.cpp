#include "Services/teaselholdd/ControlPlane.h"

#include <cmath>
#include <spdlog/spdlog.h>

namespace teaselhold::daemon {

namespace {

using namespace coordination;

constexpr std::chrono::milliseconds kTickInterval{ 100 };
/// A tick that is late by this is logged: the process gets too little processor
/// time, or an event took that long.
constexpr std::chrono::milliseconds kLateTick{ 500 };
constexpr std::chrono::seconds kApplyGrace{ 2 };
/// How long the relays have to answer before a status is put together.
constexpr std::chrono::milliseconds kStatusGatherTime{ 300 };

std::uint32_t
CapacityOf(const Settings& aSettings)
{
  return static_cast<std::uint32_t>(
    std::lround(aSettings.linkMegabits * aSettings.coreShare));
}

NodeOptions
MakeOptions(const Settings& aSettings, std::uint64_t aIncarnation)
{
  NodeOptions options;
  options.identity = { aSettings.nodeName,       aIncarnation,
                       aSettings.service,        aSettings.dataCentre,
                       aSettings.region,         aSettings.dataAddress,
                       aSettings.controlAddress, aSettings.upstreamSlots,
                       CapacityOf(aSettings) };
  options.seeds = aSettings.seeds;
  options.applyBound = aSettings.applyBound;
  options.followsRollouts = aSettings.rolloutsEnabled;
  if (aSettings.revokesStrictly) {
    options.strictRevokeBound = aSettings.revokeBound;
  }
  options.randomSeed =
    aIncarnation ^ std::hash<std::string>()(aSettings.nodeName);
  return options;
}

std::variant<RelayCore, DirectCore>
MakeCore(const Settings& aSettings, std::uint64_t aIncarnation)
{
  auto options = MakeOptions(aSettings, aIncarnation);
  if (aSettings.distribution == DistributionMode::Direct) {
    return std::variant<RelayCore, DirectCore>(std::in_place_type<DirectCore>,
                                               std::move(options));
  }
  return std::variant<RelayCore, DirectCore>(std::in_place_type<RelayCore>,
                                             std::move(options));
}

} // namespace

/// Carries out the commands of the decision logic.
struct ControlPlane::Executor
{
  ControlPlane& plane;

  void operator()(const SendMessage& aCommand) const
  {
    if (plane.channel_ != nullptr) {
      plane.channel_->Send(aCommand.address, aCommand.envelope);
    }
  }
  void operator()(const CallStore& aCommand) const
  {
    plane.store_->Submit(aCommand);
  }
  void operator()(const PublishSnapshot& aCommand) const
  {
    plane.snapshot_.store(aCommand.snapshot);
    plane.sinks_.snapshot(aCommand.snapshot);
  }
  void operator()(const DepartureSaved& aCommand) const
  {
    plane.sinks_.departureSaved(aCommand.saveNumber);
  }
  void operator()(const coordination::RestoreUpstream& aCommand) const
  {
    plane.sinks_.restoreUpstream(aCommand);
  }
  void operator()(const AskReader& aCommand) const
  {
    plane.sinks_.askReader(aCommand);
  }
  void operator()(const SetReaderRole& aCommand) const
  {
    plane.sinks_.setReaderRole(aCommand.role);
  }
  void operator()(const AskChanges& aCommand) const
  {
    plane.sinks_.askChanges(aCommand);
  }
  void operator()(const SetRecentChanges& aCommand) const
  {
    plane.sinks_.setRecentChanges(aCommand);
  }
  void operator()(const ShareAttestation& aCommand) const
  {
    plane.sinks_.attested(aCommand.attestation);
  }
  void operator()(const ShareCheck& aCommand) const
  {
    plane.sinks_.checked(aCommand.time);
  }
  void operator()(const SetRollouts& aCommand) const
  {
    plane.sinks_.setRollouts(aCommand);
  }
  void operator()(const FinishApply& aCommand) const
  {
    const std::lock_guard lock(plane.appliesMutex_);
    const auto waiting = plane.applies_.find(aCommand.id);
    if (waiting != plane.applies_.end()) {
      waiting->second.set_value(aCommand);
      plane.applies_.erase(waiting);
    }
  }
  void operator()(const WriteLog& aCommand) const
  {
    static constexpr std::array kLevels{ spdlog::level::debug,
                                         spdlog::level::info,
                                         spdlog::level::warn };
    spdlog::log(kLevels[static_cast<std::size_t>(aCommand.level)],
                "[{}] {}",
                aCommand.part,
                aCommand.message);
  }
};

ControlPlane::ControlPlane(const Settings& aSettings,
                           const Adapters& aAdapters,
                           const Clock& aClock,
                           std::uint64_t aIncarnation,
                           Sinks aSinks)
  : clock_(aClock)
  , controlAddress_(aSettings.controlAddress)
  , storeFactory_(aAdapters.store)
  , sinks_(std::move(aSinks))
  , core_(MakeCore(aSettings, aIncarnation))
{
}

ControlPlane::~ControlPlane()
{
  Stop();
}

tl::expected<void, transport::TransportError>
ControlPlane::Start()
{
  if (!controlAddress_.empty()) {
    auto channel = transport::ControlChannel::Open(
      controlAddress_, [this](wire::Envelope aEnvelope) {
        Post(MessageReceived{ std::move(aEnvelope) });
      });
    if (!channel) {
      return tl::make_unexpected(channel.error());
    }
    channel_ = std::move(*channel);
  }
  store_ = std::make_unique<StoreWorker>(
    storeFactory_(),
    [this](StoreAnswered aAnswer) { Post(std::move(aAnswer)); });
  Post(Started{});
  thread_ = std::thread([this] { Run(); });
  return {};
}

void
ControlPlane::Stop()
{
  ring_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
  if (store_ != nullptr) {
    store_->Stop();
  }
  if (channel_ != nullptr) {
    channel_->Close();
  }
}

bool
ControlPlane::Post(Event aEvent)
{
  return ring_.Push(std::move(aEvent));
}

FinishApply
ControlPlane::Apply(ApplyRequested aRequest)
{
  std::future<FinishApply> future;
  {
    const std::lock_guard lock(appliesMutex_);
    aRequest.id = nextApply_++;
    future = applies_[aRequest.id].get_future();
  }
  const auto id = aRequest.id;
  const auto wait = aRequest.deadline - clock_.Now() + kApplyGrace;
  const bool posted = Post(std::move(aRequest));
  if (posted && future.wait_for(wait) == std::future_status::ready) {
    return future.get();
  }
  const std::lock_guard lock(appliesMutex_);
  applies_.erase(id);
  if (!posted) {
    return { id, ApplyOutcome::NotApplied, 0, "the node is overloaded", "" };
  }
  return { id, ApplyOutcome::Unknown, 0, "no answer before the deadline", "" };
}

FleetStatus
ControlPlane::Status()
{
  Post(StatusRequested{});
  std::this_thread::sleep_for(kStatusGatherTime);
  return LocalStatus();
}

FleetStatus
ControlPlane::LocalStatus()
{
  auto promise = std::make_shared<std::promise<FleetStatus>>();
  auto future = promise->get_future();
  if (!ring_.Push(promise) ||
      future.wait_for(std::chrono::seconds(2)) != std::future_status::ready) {
    return {};
  }
  return future.get();
}

RoutingSnapshotPointer
ControlPlane::Snapshot() const
{
  return snapshot_.load();
}

transport::ControlCounters
ControlPlane::Counters() const
{
  return channel_ == nullptr ? transport::ControlCounters{}
                             : channel_->Counters();
}

void
ControlPlane::LogLateness(Clock::Steady::duration aLateness)
{
  if (aLateness < kLateTick) {
    return;
  }
  const auto late =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLateness);
  spdlog::warn("[control] Late. milliseconds={}", late.count());
}

void
ControlPlane::Run()
{
  auto nextTick = Clock::Steady::now() + kTickInterval;
  while (!ring_.IsClosed()) {
    const auto now = Clock::Steady::now();
    if (now >= nextTick) {
      LogLateness(now - nextTick);
      nextTick = now + kTickInterval;
      Handle(Tick{});
    }
    auto item = ring_.PopFor(nextTick - now);
    if (!item) {
      continue;
    }
    if (const auto* event = std::get_if<Event>(&*item)) {
      Handle(*event);
      continue;
    }
    std::get<StatusPromise>(*item)->set_value(
      std::visit([](const auto& aCore) { return aCore.Status(); }, core_));
  }
}

void
ControlPlane::Handle(const Event& aEvent)
{
  const auto commands = std::visit(
    [&](auto& aCore) { return aCore.Handle(aEvent, clock_.Now()); }, core_);
  for (const auto& command : commands) {
    std::visit(Executor{ *this }, command);
  }
}

} // namespace teaselhold::daemon
