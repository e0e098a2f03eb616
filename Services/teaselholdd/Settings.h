#pragma once

#include "Protocol/ProtocolError.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace teaselhold::daemon {

enum class DistributionMode : std::uint8_t
{
  Relay,
  /// Every node watches the store, for fleets of some hundred nodes.
  Direct,
};

/// What surrounds the node.
enum class Environment : std::uint8_t
{
  /// The product's own interfaces: teaselctl, probed upstreams.
  Standalone,
  /// The users' platform; see docs/platform.md.
  Platform,
};

/// The daemon's settings, read from an INI file. The initializers are the
/// defaults; members without one are required.
struct Settings
{
  std::string nodeName;
  std::string service;
  std::string dataCentre;
  std::string region;
  /// Where callers connect, IP:port.
  std::string callerAddress;
  /// Where other nodes send requests, IP:port.
  std::string dataAddress;
  /// Control messages, UDP and TCP on the same port; empty without relays.
  std::string controlAddress;
  /// Where teaselctl connects, IP:port; empty serves none. Calls are not
  /// authenticated.
  std::string adminAddress;
  /// Where metrics are served over HTTP, GET /metrics; empty serves none.
  std::string metricsAddress;
  std::vector<std::string> seeds;
  std::string storeAddress;
  std::string upstreamAddress;
  std::string upstreamHealthPath = "/health";
  std::uint32_t upstreamSlots = 12;
  std::chrono::milliseconds upstreamProbeInterval{ 500 };
  /// An answer 503 with Teaselhold-Shed means that the upstream ran nothing.
  bool upstreamShedIsNotRun = false;
  /// Bandwidth and share of a core of the host; the strongest hosts take on
  /// duties for the others.
  double linkMegabits = 1000;
  double coreShare = 1;
  /// How long a stopping node waits for requests in flight.
  std::chrono::milliseconds drainTimeout{ 30000 };
  /// A version is in force within this time of its acknowledgement.
  std::chrono::milliseconds applyBound{ 2000 };
  DistributionMode distribution = DistributionMode::Relay;
  Environment environment = Environment::Standalone;
  /// Where readiness is asked for, IP:port; empty serves none.
  std::string readyAddress;
  std::string readyPath = "/ready";
  /// Where the upstream sends its announcements, IP:port.
  std::string announcementAddress;
  /// A leaving upstream gets nothing later than this after its leaving was
  /// acknowledged.
  std::chrono::milliseconds upstreamDrain{ 2000 };
  /// Retries of all nodes may be this share of a service's requests, and the
  /// slack on top, in any window.
  double retryRatio = 0.1;
  std::uint32_t retrySlack = 50;
  std::chrono::milliseconds retryWindow{ 10000 };
  /// An upstream that has started or recovered gets work at the pace that its
  /// answers allow.
  bool upstreamPaced = true;
  /// Memory that the process may use, in MiB, and its file descriptors; 0 if
  /// the host does not bound them.
  std::uint32_t memoryMegabytes = 0;
  std::uint32_t maxDescriptors = 0;
  /// A key that was taken from its account opens nothing later than this after
  /// the acknowledgement; 0 if keys follow the configuration only.
  std::chrono::milliseconds revokeBound{ 0 };
  /// The revoke bound also holds while this node cannot reach the store.
  bool revokesStrictly = false;
  /// The span over which the quota of an account is measured, and by how much
  /// all nodes together may exceed it: a share, and requests on top.
  std::chrono::milliseconds quotaWindow{ 5000 };
  double quotaOverage = 0.1;
  std::uint32_t quotaSlack = 20;
  /// Orders of roll-outs are followed.
  bool rolloutsEnabled = true;
  /// Requests that a new version of a service may get before it is trusted, as
  /// a share of all requests for the service, and requests on top.
  double exposureShare = 0.1;
  std::uint32_t exposureSlack = 50;
  /// A bad version gets nothing later than this after its bad answers show it.
  std::chrono::milliseconds rollbackBound{ 5000 };
  std::string logLevel = "info";
};

/// @return the bandwidth of the host's link.
double
LinkBytesPerSecond(const Settings& aSettings);

/// Valid settings and what an operator should know about them.
struct CheckedSettings
{
  Settings settings;
  std::vector<protocol::ProtocolError> warnings;
};

/// Reads and checks settings. Returns every error at once.
tl::expected<CheckedSettings, std::vector<protocol::ProtocolError>>
ParseSettings(std::string_view aText);

} // namespace teaselhold::daemon
