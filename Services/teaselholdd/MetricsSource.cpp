#include "Services/teaselholdd/MetricsSource.h"

namespace teaselhold::daemon {

MetricsCopy
MetricsSource::Collect() const
{
  MetricsCopy copy;
  copy.node = settings_.nodeName;
  copy.service = settings_.service;
  copy.dataCentre = settings_.dataCentre;
  copy.region = settings_.region;
  copy.calls = callMetrics_.Snapshot();
  copy.quotas = dataPlane_.Quotas();
  copy.control = controlPlane_.Counters();
  copy.store = controlPlane_.StoreCalls();
  copy.fleet = controlPlane_.LocalStatus();
  const auto& limits = *transport::PeerLimits::OfProcess();
  copy.peerRefusals = limits.Counts();
  copy.peerMemoryBytes = limits.memory->Used();
  copy.peerConnections = limits.descriptors->Connections();
  const auto snapshot = controlPlane_.Snapshot();
  if (snapshot != nullptr && snapshot->configuration != nullptr) {
    copy.activeGeneration = snapshot->configuration->GetGeneration();
  }
  return copy;
}

} // namespace teaselhold::daemon
