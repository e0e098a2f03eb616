#include "Coordination/ConfigurationWatch.h"
#include "Tests/Platform/RunningStore.h"
#include "admin.pb.h"

#include <catch2/catch.hpp>
#include <map>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;
using tests::RunningStore;

// Guards against a follower of a large configuration that drops a whole
// document as old after the store came back from an earlier copy, and so keeps
// the version from before.

namespace {

constexpr const char* kKey = "teaselhold/configuration";

std::string
MakeVersion(state::Generation aGeneration)
{
  wire::StoredConfiguration stored;
  stored.set_generation(aGeneration);
  stored.set_text("[service visits]\nentry = yes\n");
  return stored.SerializeAsString();
}

/// A node that hears of versions by the changes that others write, and whose
/// calls reach a real store over the platform's client.
class Follower
{
public:
  explicit Follower(const RunningStore& aStore)
    : client_(aStore.Client())
  {
    watch_.SetWatching(false);
  }

  /// Another node has written changes that are too large for their log.
  void LearnOfLargeChange()
  {
    Commands commands;
    watch_.ApplyChanges(
      ConfigurationChangeLog(), VersionSource::Changes, commands);
    CarryOut();
  }

  /// Carries out the calls that are due now.
  void CarryOut()
  {
    now_ += 1s;
    Commands commands;
    watch_.Tick(now_, commands);
    for (const auto& command : commands) {
      const auto* call = std::get_if<CallStore>(&command);
      REQUIRE(call != nullptr);
      Commands ignored;
      watch_.OnStoreAnswer({ call->call, Execute(*call) }, now_, ignored);
    }
  }

  state::Generation InForce() const
  {
    return watch_.Active() == nullptr ? 0 : watch_.Active()->GetGeneration();
  }

private:
  StoreResult Execute(const CallStore& aCall)
  {
    if (const auto* check = std::get_if<StoreGetIfChanged>(&aCall.request)) {
      auto entry = client_->GetIfChanged(check->key, check->knownRevision, 1s);
      REQUIRE(entry);
      return entry->value_or(protocol::StoreEntry{ "", check->knownRevision });
    }
    const auto* get = std::get_if<StoreGet>(&aCall.request);
    REQUIRE(get != nullptr);
    auto entry = client_->Get(get->key, 1s);
    REQUIRE(entry);
    return *entry;
  }

  std::unique_ptr<platform::StoreClient> client_;
  StoreCallNumbers numbers_;
  RandomSource random_{ 1 };
  ConfigurationWatch watch_{ numbers_, random_ };
  state::Instant now_{ 1s };
};

} // namespace

TEST_CASE("a follower takes the whole document after an earlier copy")
{
  constexpr state::Generation kCopied = 2;
  constexpr state::Generation kLast = 14;
  constexpr state::Generation kNext = 20;
  // Versions that are written after the return and before the next one: its
  // revision is below, equal to or above the last one before the return.
  const auto unrelated = GENERATE(0, 10, 11, 12, 15);
  RunningStore store;
  store.SetEra(1);
  store.Put(kKey, MakeVersion(kCopied));
  const auto copy = store.Copy();
  for (auto version = kCopied + 1; version <= kLast; ++version) {
    store.OnStore([&](stand_in::StoreState& aState) {
      aState.Apply({ {}, { { kKey, MakeVersion(version), 0 } }, {} });
    });
  }
  Follower follower(store);
  follower.LearnOfLargeChange();
  REQUIRE(follower.InForce() == kLast);

  // What the operator wrote is written again.
  store.Restore(copy, kKey, { MakeVersion(kLast) });
  for (int i = 0; i < unrelated; ++i) {
    store.Put("a/unrelated", "");
  }
  store.Put(kKey, MakeVersion(kNext));
  CAPTURE(unrelated);
  follower.LearnOfLargeChange();
  CHECK(follower.InForce() == kNext);
}
