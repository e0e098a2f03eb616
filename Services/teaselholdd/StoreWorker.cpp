#include "Services/teaselholdd/StoreWorker.h"

#include "Coordination/StoreCircuitBreaker.h"

#include <spdlog/spdlog.h>

namespace teaselhold::daemon {

namespace {

using namespace coordination;

template<typename Value>
StoreResult
ToResult(tl::expected<Value, protocol::StoreError> aValue)
{
  if (!aValue) {
    return std::move(aValue.error());
  }
  return StoreResult(std::in_place_type<Value>, std::move(*aValue));
}

/// Maps each kind of call to the client's function.
struct CallVisitor
{
  protocol::StoreClient& client;

  StoreResult operator()(const StoreGet& aCall) const
  {
    return ToResult(client.Get(aCall.key, kStoreCallTimeout));
  }
  StoreResult operator()(const StoreGetIfChanged& aCall) const
  {
    return ToResult(
      client.GetIfChanged(aCall.key, aCall.knownRevision, kStoreCallTimeout)
        .map([&](std::optional<protocol::StoreEntry> aEntry) {
          return std::move(aEntry).value_or(
            protocol::StoreEntry{ "", aCall.knownRevision });
        }));
  }
  StoreResult operator()(const StoreSwap& aCall) const
  {
    return ToResult(client.CompareAndSwap(aCall.key,
                                          aCall.expectedRevision,
                                          aCall.value,
                                          aCall.lease,
                                          kStoreCallTimeout));
  }
  StoreResult operator()(const StoreGrant& aCall) const
  {
    return ToResult(client.GrantLease(aCall.timeToLive, kStoreCallTimeout));
  }
  StoreResult operator()(const StoreKeepAlive& aCall) const
  {
    return ToResult(client.KeepAlive(aCall.lease, kStoreCallTimeout));
  }
  StoreResult operator()(const StoreWatch& aCall) const
  {
    return ToResult(client.Watch(aCall.key, aCall.knownRevision, aCall.wait));
  }
  StoreResult operator()(const StoreList& aCall) const
  {
    const bool isStale = aCall.consistency == protocol::ReadConsistency::Stale;
    return ToResult(
      client.List(aCall.prefix,
                  aCall.consistency,
                  isStale ? kStaleCallTimeout : kStoreCallTimeout));
  }
};

/// Names the kind of a call and what it is about.
struct DescribeVisitor
{
  std::string operator()(const StoreGet& aCall) const
  {
    return "get key=" + aCall.key;
  }
  std::string operator()(const StoreGetIfChanged& aCall) const
  {
    return "check key=" + aCall.key;
  }
  std::string operator()(const StoreSwap& aCall) const
  {
    return "swap key=" + aCall.key;
  }
  std::string operator()(const StoreGrant& /*aCall*/) const { return "grant"; }
  std::string operator()(const StoreKeepAlive& /*aCall*/) const
  {
    return "keep-alive";
  }
  std::string operator()(const StoreWatch& aCall) const
  {
    return "watch key=" + aCall.key;
  }
  std::string operator()(const StoreList& aCall) const
  {
    return "list prefix=" + aCall.prefix;
  }
};

} // namespace

StoreWorker::StoreWorker(std::unique_ptr<protocol::StoreClient> aClient,
                         Answer aAnswer)
  : client_(std::move(aClient))
  , answer_(std::move(aAnswer))
  , writeThread_([this] { Run(writes_); })
  , watchThread_([this] { Run(watches_); })
  , readThread_([this] { Run(reads_); })
{
}

StoreWorker::~StoreWorker()
{
  Stop();
}

void
StoreWorker::Submit(CallStore aCall)
{
  const auto number = aCall.call;
  auto& ring = RingOf(aCall);
  if (&ring == &watches_) {
    EndEarlierWatch();
  }
  if (!ring.Push(std::move(aCall))) {
    answer_({ number,
              protocol::StoreError{ protocol::StoreErrorCode::Unavailable,
                                    "too many store calls are waiting" } });
  }
}

StoreWorker::Ring&
StoreWorker::RingOf(const CallStore& aCall)
{
  if (std::holds_alternative<StoreWatch>(aCall.request)) {
    return watches_;
  }
  const bool isRead =
    std::holds_alternative<StoreGet>(aCall.request) ||
    std::holds_alternative<StoreGetIfChanged>(aCall.request) ||
    std::holds_alternative<StoreList>(aCall.request);
  return isRead ? reads_ : writes_;
}

void
StoreWorker::SetWatching(bool aIsWatching)
{
  const std::lock_guard lock(watchMutex_);
  isWatching_ = aIsWatching;
}

void
StoreWorker::EndEarlierWatch()
{
  const std::lock_guard lock(watchMutex_);
  if (isWatching_) {
    client_->EndWatch();
  }
}

void
StoreWorker::Stop()
{
  writes_.Close();
  watches_.Close();
  reads_.Close();
  // A watch would hold up the stop for its whole wait.
  client_->Close();
  if (writeThread_.joinable()) {
    writeThread_.join();
  }
  if (watchThread_.joinable()) {
    watchThread_.join();
  }
  if (readThread_.joinable()) {
    readThread_.join();
  }
}

void
StoreWorker::Run(Ring& aRing)
{
  while (auto call = aRing.Pop()) {
    const bool isWatch = &aRing == &watches_;
    if (isWatch) {
      SetWatching(true);
    }
    const auto start = std::chrono::steady_clock::now();
    auto result = Execute(*call);
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - start);
    if (isWatch) {
      SetWatching(false);
    }
    Count(*call, result, time);
    answer_({ call->call, std::move(result) });
  }
}

StoreResult
StoreWorker::Execute(const CallStore& aCall)
{
  return std::visit(CallVisitor{ *client_ }, aCall.request);
}

StoreCounters
StoreWorker::Counters() const
{
  return { watchCount_, otherCount_, failureCount_ };
}

void
StoreWorker::Count(const CallStore& aCall,
                   const StoreResult& aResult,
                   std::chrono::milliseconds aTime)
{
  const bool isWatch = std::holds_alternative<StoreWatch>(aCall.request);
  ++(isWatch ? watchCount_ : otherCount_);
  const auto* error = std::get_if<protocol::StoreError>(&aResult);
  const bool isFailure =
    error != nullptr && error->code != protocol::StoreErrorCode::Cancelled;
  if (isFailure) {
    ++failureCount_;
    if (!failing_.exchange(true)) {
      LogFailure(aCall, *error, aTime);
    }
  } else if (error == nullptr && failing_.exchange(false)) {
    spdlog::info("[store] Calls succeed again.");
  }
}

void
StoreWorker::LogFailure(const CallStore& aCall,
                        const protocol::StoreError& aError,
                        std::chrono::milliseconds aTime) const
{
  spdlog::warn("[store] Call failed. error=\"{}\" reason=\"{}\" "
               "milliseconds={} call={}",
               state::FindEnumName(protocol::kStoreErrorNames, aError.code),
               aError.message,
               aTime.count(),
               std::visit(DescribeVisitor{}, aCall.request));
}

} // namespace teaselhold::daemon
