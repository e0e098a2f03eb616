#pragma once

#include "Coordination/CallMetrics.h"
#include "Coordination/NodeEvents.h"
#include "Services/teaselholdd/QuotaExchange.h"
#include "Services/teaselholdd/StoreWorker.h"
#include "Transport/ControlChannel.h"
#include "Transport/Limits/PeerLimits.h"

#include <string>

namespace teaselhold::daemon {

/// All metrics of one node at one moment.
struct MetricsCopy
{
  std::string node;
  std::string service;
  std::string dataCentre;
  std::string region;
  coordination::CallMetricsSnapshot calls;
  QuotaMetrics quotas;
  transport::ControlCounters control;
  StoreCounters store;
  coordination::FleetStatus fleet;
  state::Generation activeGeneration = 0;
  transport::PeerRefusalCounts peerRefusals{};
  std::uint64_t peerMemoryBytes = 0;
  std::uint64_t peerConnections = 0;
};

/// Formats metrics in the Prometheus text exposition format, version 0.0.4.
std::string
FormatMetrics(const MetricsCopy& aMetrics);

} // namespace teaselhold::daemon
