#pragma once

#include "Coordination/DirectCore.h"
#include "Coordination/EndpointCodec.h"
#include "admin.pb.h"

#include <catch2/catch.hpp>

namespace teaselhold::tests {

using namespace coordination;
using namespace std::chrono_literals;
using state::EndpointState;

inline constexpr const char* kSmallText = "[service visits]\nentry = yes\n";

inline protocol::StoreEntry
MakeVersion(std::uint64_t aGeneration, std::uint64_t aRevision)
{
  wire::StoredConfiguration stored;
  stored.set_generation(aGeneration);
  stored.set_text(kSmallText);
  return { stored.SerializeAsString(), aRevision };
}

inline state::EndpointRecord
MakeRecord(const std::string& aNode, EndpointState aState)
{
  state::EndpointRecord record;
  record.node = aNode;
  record.incarnation = 5;
  record.service = "visits";
  record.dataAddress = "10.0.0.9:80";
  record.state = aState;
  record.slots = 12;
  record.upstream = { "i-" + aNode, 77, 9, 12 };
  return record;
}

inline protocol::StoreItem
MakeItem(const state::EndpointRecord& aRecord, std::uint64_t aRevision)
{
  return { protocol::kNodePrefix + aRecord.node,
           ToWire(aRecord).SerializeAsString(),
           aRevision };
}

/// Drives one DirectCore; the test supplies the results of its store calls.
class CoreHarness
{
public:
  explicit CoreHarness(NodeOptions aOptions = MakeOptions())
    : core_(std::move(aOptions))
  {
    Handle(Started{});
  }

  void Handle(const Event& aEvent)
  {
    for (auto& command : core_.Handle(aEvent, now)) {
      if (const auto* call = std::get_if<CallStore>(&command)) {
        calls.push_back(*call);
      } else if (const auto* publish = std::get_if<PublishSnapshot>(&command)) {
        snapshot = publish->snapshot;
      } else if (const auto* restore = std::get_if<RestoreUpstream>(&command)) {
        restored = *restore;
      } else if (const auto* saved = std::get_if<DepartureSaved>(&command)) {
        savedNumber = saved->saveNumber;
      } else if (const auto* share = std::get_if<ShareAttestation>(&command)) {
        attested = share->attestation;
      } else if (const auto* reader = std::get_if<AskReader>(&command)) {
        askedReaders.push_back(*reader);
      } else if (const auto* ask = std::get_if<AskChanges>(&command)) {
        (ask->call == CheckNews::kCall ? askedNews : asked).push_back(*ask);
      } else if (const auto* recent = std::get_if<SetRecentChanges>(&command)) {
        recentChanges = recent->changes;
      } else if (const auto* log = std::get_if<WriteLog>(&command)) {
        logs.push_back(log->message);
      }
    }
  }

  void RunFor(state::Duration aTime)
  {
    for (const auto end = now + aTime; now < end;) {
      now += 100ms;
      Handle(Tick{});
    }
  }

  template<typename Request>
  const Request* Pending() const
  {
    for (const auto& call : calls) {
      if (const auto* request = std::get_if<Request>(&call.request)) {
        return request;
      }
    }
    return nullptr;
  }

  template<typename Request>
  void Answer(StoreResult aResult)
  {
    const auto found = std::ranges::find_if(calls, [](const CallStore& aCall) {
      return std::holds_alternative<Request>(aCall.request);
    });
    REQUIRE(found != calls.end());
    const auto number = found->call;
    calls.erase(found);
    Handle(StoreAnswered{ number, std::move(aResult) });
  }

  /// Answers the probe of the store, after which the core sends the calls that
  /// it held back because one had failed.
  void AnswerProbe()
  {
    RunFor(300ms);
    const auto found = std::ranges::find_if(calls, [](const CallStore& aCall) {
      const auto* list = std::get_if<StoreList>(&aCall.request);
      return list != nullptr && list->prefix != protocol::kNodePrefix;
    });
    REQUIRE(found != calls.end());
    const auto number = found->call;
    calls.erase(found);
    Handle(StoreAnswered{ number, protocol::StoreListing{} });
  }

  /// Answers the pending swap of a key.
  void AnswerSwap(const std::string& aKey, StoreResult aResult)
  {
    const auto found = std::ranges::find_if(calls, [&](const CallStore& aCall) {
      const auto* swap = std::get_if<StoreSwap>(&aCall.request);
      return swap != nullptr && swap->key == aKey;
    });
    REQUIRE(found != calls.end());
    const auto number = found->call;
    calls.erase(found);
    Handle(StoreAnswered{ number, std::move(aResult) });
  }

  /// @return the pending swap of a key, or nullptr.
  const StoreSwap* PendingSwap(const std::string& aKey) const
  {
    for (const auto& call : calls) {
      const auto* swap = std::get_if<StoreSwap>(&call.request);
      if (swap != nullptr && swap->key == aKey) {
        return swap;
      }
    }
    return nullptr;
  }

  /// Answers the calls that register the node.
  void Register()
  {
    Answer<StoreList>(protocol::StoreListing{ {}, 10 });
    Handle(UpstreamChanged{ EndpointState::Ready,
                            state::UpstreamIdentity{ "i-me", 7, 1, 12 } });
    Answer<StoreGrant>(protocol::LeaseId{ 99 });
    const auto value = Pending<StoreSwap>()->value;
    Answer<StoreSwap>(protocol::SwapResult{ true, { value, 11 } });
  }

  state::Instant now{ 1s };
  std::vector<CallStore> calls;
  RoutingSnapshotPointer snapshot;
  std::optional<RestoreUpstream> restored;
  std::uint64_t savedNumber = 0;
  std::vector<std::string> logs;
  /// Questions to other nodes for the changes that are missing here, for the
  /// last check, and whether they read.
  std::vector<AskChanges> asked;
  std::vector<AskChanges> askedNews;
  std::vector<AskReader> askedReaders;
  std::shared_ptr<const ConfigurationChangeLog> recentChanges;
  /// What the last read said of the newest version.
  std::optional<Attestation> attested;

private:
  static NodeOptions MakeOptions()
  {
    NodeOptions options;
    options.identity = {
      "me", 1, "visits", "one", "one", "10.0.0.1:80", "", 0
    };
    return options;
  }

  DirectCore core_;
};

} // namespace teaselhold::tests
