#pragma once

#include "Coordination/DirectCore.h"
#include "Tests/Platform/RunningStore.h"

#include <catch2/catch.hpp>

namespace teaselhold::tests {

/// One node's DirectCore whose store calls reach a running store over the
/// platform's client, in simulated time. Its watches are answered in RunFor().
class ConnectedCore
{
public:
  ConnectedCore(
    const RunningStore& aStore,
    const std::string& aNode,
    platform::ConfigurationOwner aOwner = platform::ConfigurationOwner::Product)
    : core_(MakeOptions(aNode))
    , client_(aStore.Client(aOwner))
  {
    Handle(coordination::Started{});
  }

  /// The upstream beside the node becomes ready.
  void Announce(const state::UpstreamIdentity& aUpstream)
  {
    Handle(
      coordination::UpstreamChanged{ state::EndpointState::Ready, aUpstream });
  }

  /// An upstream beside a node departs, and this node is told.
  void Depart(const std::string& aNode,
              const state::UpstreamIdentity& aUpstream)
  {
    Handle(coordination::UpstreamDeparted{ aNode, aUpstream, 1 });
  }

  void RunFor(state::Duration aTime)
  {
    constexpr state::Duration kStep = std::chrono::milliseconds(100);
    for (const auto end = now_ + aTime; now_ < end;) {
      now_ += kStep;
      Handle(coordination::Tick{});
      AnswerWatch();
    }
  }

  /// Returns the roll-outs that this node knows of.
  std::vector<coordination::Rollout> Rollouts() const
  {
    return core_.Status().rollouts;
  }

  /// Returns what this node knows of another one; nullptr if nothing.
  const state::EndpointRecord* Find(const std::string& aNode) const
  {
    return snapshot_ == nullptr ? nullptr : snapshot_->endpoints->Find(aNode);
  }

  std::size_t CountLogs(const std::string& aText) const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(logs_, [&](const std::string& aLine) {
        return aLine.find(aText) != std::string::npos;
      }));
  }

private:
  static constexpr std::chrono::seconds kTimeout{ 1 };
  static constexpr std::chrono::milliseconds kWatchWait{ 1 };

  static coordination::NodeOptions MakeOptions(const std::string& aNode)
  {
    coordination::NodeOptions options;
    options.identity = {
      aNode, 1, "visits", "one", "one", "10.0.0.1:80", "", 0
    };
    options.followsRollouts = true;
    return options;
  }

  void Handle(const coordination::Event& aEvent)
  {
    for (const auto& command : core_.Handle(aEvent, now_)) {
      if (const auto* call = std::get_if<coordination::CallStore>(&command)) {
        CarryOut(*call);
      } else if (const auto* publish =
                   std::get_if<coordination::PublishSnapshot>(&command)) {
        snapshot_ = publish->snapshot;
      } else if (const auto* log =
                   std::get_if<coordination::WriteLog>(&command)) {
        logs_.push_back(log->message);
      }
    }
  }

  void CarryOut(const coordination::CallStore& aCall)
  {
    if (std::holds_alternative<coordination::StoreWatch>(aCall.request)) {
      watch_ = aCall;
      return;
    }
    Handle(coordination::StoreAnswered{
      aCall.call, std::visit(Caller{ *client_ }, aCall.request) });
  }

  void AnswerWatch()
  {
    if (const auto watch = std::exchange(watch_, std::nullopt)) {
      Handle(coordination::StoreAnswered{
        watch->call, std::visit(Caller{ *client_ }, watch->request) });
    }
  }

  struct Caller
  {
    using Result = coordination::StoreResult;
    platform::StoreClient& client;

    template<typename Value>
    static Result ToResult(tl::expected<Value, protocol::StoreError> aValue)
    {
      if (!aValue) {
        return std::move(aValue.error());
      }
      return Result(std::in_place_type<Value>, std::move(*aValue));
    }

    Result operator()(const coordination::StoreGet& aCall) const
    {
      return ToResult(client.Get(aCall.key, kTimeout));
    }
    Result operator()(const coordination::StoreGetIfChanged& aCall) const
    {
      return ToResult(
        client.GetIfChanged(aCall.key, aCall.knownRevision, kTimeout)
          .map([&](std::optional<protocol::StoreEntry> aEntry) {
            return std::move(aEntry).value_or(
              protocol::StoreEntry{ "", aCall.knownRevision });
          }));
    }
    Result operator()(const coordination::StoreSwap& aCall) const
    {
      return ToResult(client.CompareAndSwap(
        aCall.key, aCall.expectedRevision, aCall.value, aCall.lease, kTimeout));
    }
    Result operator()(const coordination::StoreGrant& aCall) const
    {
      return ToResult(client.GrantLease(aCall.timeToLive, kTimeout));
    }
    Result operator()(const coordination::StoreKeepAlive& aCall) const
    {
      return ToResult(client.KeepAlive(aCall.lease, kTimeout));
    }
    Result operator()(const coordination::StoreWatch& aCall) const
    {
      return ToResult(client.Watch(aCall.key, aCall.knownRevision, kWatchWait));
    }
    Result operator()(const coordination::StoreList& aCall) const
    {
      return ToResult(client.List(aCall.prefix, aCall.consistency, kTimeout));
    }
  };

  state::Instant now_{ std::chrono::seconds(1) };
  coordination::DirectCore core_;
  std::unique_ptr<platform::StoreClient> client_;
  std::optional<coordination::CallStore> watch_;
  coordination::RoutingSnapshotPointer snapshot_;
  std::vector<std::string> logs_;
};

} // namespace teaselhold::tests
