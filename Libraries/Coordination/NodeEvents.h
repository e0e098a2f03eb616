#pragma once

#include "Coordination/RoutingSnapshot.h"
#include "Protocol/StoreClient.h"
#include "State/EndpointRecord.h"
#include "State/Instant.h"
#include "control.pb.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

/// Inputs and outputs of the node's decision logic. It has no I/O and no
/// clock: an event and a time go in, commands come out.
namespace teaselhold::coordination {

// Events.

struct Started
{};

/// Sent about every 100 ms.
struct Tick
{};

struct MessageReceived
{
  wire::Envelope envelope;
};

using StoreResult = std::variant<protocol::StoreError,
                                 protocol::StoreEntry,
                                 protocol::SwapResult,
                                 /* lease */ protocol::LeaseId,
                                 /* lease is alive */ bool,
                                 protocol::StoreListing>;

struct StoreAnswered
{
  std::uint64_t call;
  StoreResult result;
};

/// The state of the upstream beside this node, as its prober or its own
/// announcements say it.
struct UpstreamChanged
{
  state::EndpointState state;
  /// Set if the upstream announces itself.
  std::optional<state::UpstreamIdentity> upstream = std::nullopt;
  /// If not 0, a LeavingSaved command with this number follows once the state
  /// is in the store.
  std::uint64_t saveNumber = 0;
};

/// The upstream crashed while it ran a request with this fingerprint.
struct CrashObserved
{
  std::uint64_t fingerprint;
};

struct ApplyRequested
{
  std::uint64_t id;
  std::string text;
  state::Generation baseGeneration;
  std::string applyId;
  state::Instant deadline;
};

/// An operator is about to ask for the status; it is gathered from the relays.
struct StatusRequested
{};

using Event = std::variant<Started,
                           Tick,
                           MessageReceived,
                           StoreAnswered,
                           UpstreamChanged,
                           CrashObserved,
                           ApplyRequested,
                           StatusRequested>;

// Commands.

struct SendMessage
{
  /// IP:port of the receiver's control address.
  std::string address;
  wire::Envelope envelope;
};

struct StoreGet
{
  std::string key;
};

/// Answered with a StoreEntry; without a value if the key has the revision.
struct StoreGetIfChanged
{
  std::string key;
  std::uint64_t knownRevision;
};

struct StoreSwap
{
  std::string key;
  std::uint64_t expectedRevision;
  std::string value;
  protocol::LeaseId lease;
};

struct StoreGrant
{
  std::chrono::milliseconds timeToLive;
};

struct StoreKeepAlive
{
  protocol::LeaseId lease;
};

struct StoreWatch
{
  std::string key;
  std::uint64_t knownRevision;
  std::chrono::milliseconds wait;
};

struct StoreList
{
  std::string prefix;
  protocol::ReadConsistency consistency =
    protocol::ReadConsistency::Linearizable;
};

/// A call of the store; its StoreAnswered event carries the same number.
struct CallStore
{
  std::uint64_t call;
  std::variant<StoreGet,
               StoreGetIfChanged,
               StoreSwap,
               StoreGrant,
               StoreKeepAlive,
               StoreWatch,
               StoreList>
    request;
};

/// The state that the upstream announced is in the store, so a restart of this
/// node does not forget it.
struct LeavingSaved
{
  std::uint64_t saveNumber;
};

/// An earlier process of this node knew that this upstream is leaving; nothing
/// if no earlier process left such a record.
struct RestoreUpstream
{
  std::optional<state::UpstreamIdentity> leaving;
};

struct PublishSnapshot
{
  RoutingSnapshotPointer snapshot;
};

enum class ApplyOutcome : std::uint8_t
{
  Accepted,
  Unchanged,
  Refused,
  Conflict,
  Unknown,
  NotApplied,
};

inline constexpr std::array<state::EnumName<ApplyOutcome>, 6>
  kApplyOutcomeNames{ {
    { ApplyOutcome::Accepted, "accepted" },
    { ApplyOutcome::Unchanged, "unchanged" },
    { ApplyOutcome::Refused, "refused" },
    { ApplyOutcome::Conflict, "conflict" },
    { ApplyOutcome::Unknown, "unknown" },
    { ApplyOutcome::NotApplied, "not applied" },
  } };

struct FinishApply
{
  std::uint64_t id;
  ApplyOutcome outcome;
  state::Generation generation;
  std::string message;
  /// With Conflict: the text that won.
  std::string currentText;
};

enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
};

struct WriteLog
{
  LogLevel level;
  /// The part that writes, such as "membership".
  std::string_view part;
  std::string message;
};

using Command = std::variant<SendMessage,
                             CallStore,
                             PublishSnapshot,
                             FinishApply,
                             WriteLog,
                             LeavingSaved,
                             RestoreUpstream>;
using Commands = std::vector<Command>;

/// Who and where this node is, from its settings.
struct NodeIdentity
{
  std::string name;
  std::uint64_t incarnation = 0;
  std::string service;
  std::string dataCentre;
  std::string region;
  std::string dataAddress;
  std::string controlAddress;
  std::uint32_t slots = 0;
  /// See state::EndpointRecord::capacity.
  std::uint32_t capacity = 0;
};

struct NodeOptions
{
  NodeIdentity identity;
  /// Control addresses of any other nodes.
  std::vector<std::string> seeds;
  /// Seeds the jitter; fixed in tests.
  std::uint64_t randomSeed = 0;
  /// A version is in force within this time of its acknowledgement.
  state::Duration applyBound{ std::chrono::seconds(2) };
};

/// What operators see of one node in `teaselctl status`.
struct NodeStatus
{
  std::string node;
  std::string service;
  std::string dataCentre;
  state::EndpointState state;
  std::string role;
  state::Generation activeGeneration = 0;
  state::Generation refusedGeneration = 0;
  std::string refusedReason;
};

struct FleetStatus
{
  bool storeReachable = false;
  state::Generation storeGeneration = 0;
  state::Generation highestGeneration = 0;
  std::vector<NodeStatus> nodes;
  std::vector<std::string> alarms;
};

} // namespace teaselhold::coordination
