#pragma once

#include "Coordination/Accounts/Attestations.h"
#include "Coordination/ConfigurationChangeLog.h"
#include "Coordination/Rollouts/RolloutBook.h"
#include "Coordination/RoutingSnapshot.h"
#include "Protocol/StoreClient.h"
#include "State/EndpointRecord.h"
#include "State/Instant.h"
#include "control.pb.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

/// Inputs and outputs of the node's decision logic. The logic performs no I/O
/// and reads no clock: it takes an event and the current time and returns
/// commands.
namespace teaselhold::coordination {

// Events.

struct Started
{};

/// Drives timers; sent about every 100 ms.
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

/// The state of the upstream beside this node, as reported by the health prober
/// or by the upstream's own announcements.
struct UpstreamChanged
{
  state::EndpointState state;
  /// Set if the upstream announces itself.
  std::optional<state::UpstreamIdentity> upstream = std::nullopt;
};

/// An upstream announced its departure, to the node beside it.
struct UpstreamDeparted
{
  /// The node beside the upstream; it may be another one than this.
  std::string node;
  state::UpstreamIdentity upstream;
  /// A DepartureSaved command with this number is emitted once the store holds
  /// the departure.
  std::uint64_t saveNumber = 0;
};

/// Whether a node reads the configuration for others.
enum class ReaderRole : std::uint8_t
{
  Reading,
  /// It learns changes from others, and could read.
  Following,
  /// It cannot read now: it starts, ends, cannot reach the store, or does not
  /// answer.
  Unavailable,
};

inline constexpr std::array<state::EnumName<ReaderRole>, 3> kReaderRoleNames{ {
  { ReaderRole::Reading, "reading" },
  { ReaderRole::Following, "following" },
  { ReaderRole::Unavailable, "unavailable" },
} };

/// The answer to an AskReader command.
struct ReaderAnswered
{
  std::uint64_t call;
  ReaderRole role;
};

/// The answer to an AskChanges command.
struct ChangesAnswered
{
  std::uint64_t call;
  /// A serialized ConfigurationChangeLog; empty if the node has nothing newer
  /// or did not answer.
  std::string log;
};

/// The upstream crashed while it ran a request with this fingerprint.
struct CrashObserved
{
  std::uint64_t fingerprint;
};

/// Another node knows this generation, as its requests or answers say.
struct PeerVersionSeen
{
  state::Generation generation;
  /// The latest that was heard of a newest version, if nodes tell it.
  std::optional<Attestation> attestation = std::nullopt;
  /// When a node last checked the store for a newer version, if one told it.
  std::optional<state::Instant> checked = std::nullopt;
};

/// What the data plane knows of roll-outs, learnt from other nodes and judged
/// from the answers of upstreams.
struct RolloutsSeen
{
  std::vector<Rollout> rollouts;
  /// The services whose target version this node found good.
  std::set<std::string> proven;
};

struct ApplyRequested
{
  std::uint64_t id;
  std::string text;
  state::Generation baseGeneration;
  std::string applyId;
  state::Instant deadline;
};

/// Requests a new collection of the fleet status from the relays, ahead of an
/// operator's status request.
struct StatusRequested
{};

using Event = std::variant<Started,
                           Tick,
                           MessageReceived,
                           StoreAnswered,
                           UpstreamChanged,
                           UpstreamDeparted,
                           CrashObserved,
                           PeerVersionSeen,
                           ReaderAnswered,
                           ChangesAnswered,
                           RolloutsSeen,
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

/// Answered with a StoreEntry, whose value is empty if the key still has the
/// known revision.
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

/// A call to the store. The StoreAnswered event with its result carries the
/// same number.
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

/// A departure is in the store and so survives a restart of any node.
struct DepartureSaved
{
  std::uint64_t saveNumber;
};

/// Adds the departures beside this node that the store holds to those that this
/// process knows. Emitted again whenever more of them become known.
struct RestoreUpstream
{
  std::vector<state::UpstreamIdentity> departed;
  /// False if the store has not answered yet, so that a previous process of
  /// this node may have acknowledged more departures.
  bool isComplete = false;
};

/// Asks another node for its ReaderRole.
struct AskReader
{
  std::uint64_t call;
  /// IP:port of the node's data address.
  std::string address;
  /// A node that reads may answer once that has changed, or after some seconds.
  bool mayWait = false;
};

/// What this node tells others of its role from now on.
struct SetReaderRole
{
  ReaderRole role;
};

/// Asks another node for the changes that lead to its version in force.
struct AskChanges
{
  std::uint64_t call;
  /// IP:port of the node's data address.
  std::string address;
  /// The generation in force here.
  state::Generation after;
};

/// The changes that this node gives to others from now on.
struct SetRecentChanges
{
  std::shared_ptr<const ConfigurationChangeLog> changes;
};

/// A read of the store showed which version is the newest, for requests with
/// keys and for other nodes.
struct ShareAttestation
{
  Attestation attestation;
};

/// This node has checked the store for a newer version; the time is that of
/// sending the call. Other nodes then need not check.
struct ShareCheck
{
  state::Instant time;
};

/// What the control plane knows of roll-outs.
struct SetRollouts
{
  std::vector<Rollout> rollouts;
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
  /// With Conflict: the configuration text that the store holds instead.
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
  /// The component that writes the log line, such as "membership".
  std::string_view part;
  std::string message;
};

using Command = std::variant<SendMessage,
                             CallStore,
                             PublishSnapshot,
                             FinishApply,
                             WriteLog,
                             DepartureSaved,
                             RestoreUpstream,
                             AskReader,
                             SetReaderRole,
                             AskChanges,
                             SetRecentChanges,
                             ShareAttestation,
                             ShareCheck,
                             SetRollouts>;
using Commands = std::vector<Command>;

/// The name, location and addresses of this node, from its settings.
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
  /// Control addresses of other nodes, through which this node joins the fleet.
  std::vector<std::string> seeds;
  /// Seed of the random jitter; tests use a fixed value.
  std::uint64_t randomSeed = 0;
  /// Every node must have a configuration version in force within this time of
  /// its acknowledgement.
  state::Duration applyBound{ std::chrono::seconds(2) };
  /// Orders of roll-outs are read from the store. A fleet without them saves
  /// the calls.
  bool followsRollouts = true;
  /// A withdrawn key opens nothing later than this after the acknowledgement,
  /// also while this node cannot reach the store; 0 if applyBound is enough.
  state::Duration strictRevokeBound{ 0 };
};

/// The state of one node as `teaselctl status` shows it.
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
  std::vector<Rollout> rollouts;
  /// The services whose target version this node found good.
  std::set<std::string> provenServices;
};

/// @return what a node knows of the target version of a roll-out.
inline std::string_view
FindingOf(const Rollout& aRollout, const std::set<std::string>& aProven)
{
  if (aRollout.isBad) {
    return "bad";
  }
  return aProven.contains(aRollout.service) ? "good" : "unclear";
}

} // namespace teaselhold::coordination
