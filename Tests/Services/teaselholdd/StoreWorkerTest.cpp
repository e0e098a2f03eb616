#include "Services/teaselholdd/StoreWorker.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <map>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;
using protocol::StoreError;
using protocol::StoreErrorCode;

namespace {

/// A store whose first watch hears nothing until it is ended.
class DeafStore final : public protocol::StoreClient
{
public:
  using Entry = tl::expected<protocol::StoreEntry, StoreError>;

  Entry Watch(const std::string& aKey,
              std::uint64_t /*aKnownRevision*/,
              std::chrono::milliseconds aWait) override
  {
    std::unique_lock lock(mutex_);
    if (aKey != "deaf") {
      return protocol::StoreEntry{ "heard", 9 };
    }
    isWaiting_ = true;
    changed_.notify_all();
    changed_.wait_for(lock, aWait, [&] { return isEnded_; });
    return tl::make_unexpected(StoreError{ StoreErrorCode::Cancelled, "" });
  }
  void EndWatch() override
  {
    const std::lock_guard lock(mutex_);
    isEnded_ = true;
    changed_.notify_all();
  }
  void Close() override { EndWatch(); }

  void AwaitWatch()
  {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, 5s, [&] { return isWaiting_; });
  }

  Entry Get(const std::string& /*aKey*/,
            std::chrono::milliseconds /*aTimeout*/) override
  {
    return protocol::StoreEntry{};
  }
  tl::expected<std::optional<protocol::StoreEntry>, StoreError> GetIfChanged(
    const std::string& /*aKey*/,
    std::uint64_t /*aKnownRevision*/,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    return std::nullopt;
  }
  tl::expected<protocol::SwapResult, StoreError> CompareAndSwap(
    const std::string& /*aKey*/,
    std::uint64_t /*aExpectedRevision*/,
    const std::string& /*aValue*/,
    protocol::LeaseId /*aLease*/,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    return protocol::SwapResult{};
  }
  tl::expected<protocol::LeaseId, StoreError> GrantLease(
    std::chrono::milliseconds /*aTimeToLive*/,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    return protocol::LeaseId{ 1 };
  }
  tl::expected<bool, StoreError> KeepAlive(
    protocol::LeaseId /*aLease*/,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    return true;
  }
  tl::expected<protocol::StoreListing, StoreError> List(
    const std::string& /*aPrefix*/,
    protocol::ReadConsistency /*aConsistency*/,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    return protocol::StoreListing{};
  }
  tl::expected<protocol::StoreChanges, StoreError> WatchPrefix(
    const std::string& /*aPrefix*/,
    std::uint64_t /*aAfterRevision*/,
    std::chrono::milliseconds /*aWait*/) override
  {
    return protocol::StoreChanges{};
  }
  tl::expected<bool, StoreError> EndLease(
    protocol::LeaseId /*aLease*/,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    return true;
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool isWaiting_ = false;
  bool isEnded_ = false;
};

/// Collects the answers of a worker.
class Answers
{
public:
  void Add(StoreAnswered aAnswer)
  {
    const std::lock_guard lock(mutex_);
    results_.emplace(aAnswer.call, std::move(aAnswer.result));
    changed_.notify_all();
  }
  std::optional<StoreResult> Await(std::uint64_t aCall,
                                   std::chrono::milliseconds aTime)
  {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, aTime, [&] { return results_.contains(aCall); });
    const auto found = results_.find(aCall);
    return found == results_.end() ? std::nullopt
                                   : std::optional(found->second);
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::uint64_t, StoreResult> results_;
};

} // namespace

TEST_CASE("A watch does not wait behind the watch of another key")
{
  // Guards against a node that changes from the changes of a configuration to
  // the whole of it and hears of no version until its earlier watch ends.
  Answers answers;
  auto client = std::make_unique<DeafStore>();
  auto& store = *client;
  daemon::StoreWorker worker(std::move(client), [&](StoreAnswered aAnswer) {
    answers.Add(std::move(aAnswer));
  });
  worker.Submit({ 1, StoreWatch{ "deaf", 3, 25s } });
  store.AwaitWatch();
  worker.Submit({ 2, StoreWatch{ "key", 3, 25s } });
  const auto second = answers.Await(2, 3s);
  REQUIRE(second);
  REQUIRE(std::holds_alternative<protocol::StoreEntry>(*second));
  CHECK(std::get<protocol::StoreEntry>(*second).value == "heard");
  const auto first = answers.Await(1, 3s);
  REQUIRE(first);
  REQUIRE(std::holds_alternative<StoreError>(*first));
  CHECK(std::get<StoreError>(*first).code == StoreErrorCode::Cancelled);
  CHECK(worker.Counters().failures == 0);
}
