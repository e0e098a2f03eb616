#pragma once

#include "Services/teaselholdd/ControlPlane.h"
#include "Services/teaselholdd/MetricsText.h"

namespace teaselhold::daemon {

/// Collects the metrics of all parts of the node. Safe on any thread.
class MetricsSource
{
public:
  /// All arguments must outlive this object.
  MetricsSource(const Settings& aSettings,
                ControlPlane& aControlPlane,
                const coordination::CallMetrics& aCallMetrics)
    : settings_(aSettings)
    , controlPlane_(aControlPlane)
    , callMetrics_(aCallMetrics)
  {
  }

  /// Waits for the control thread, up to 2 s.
  MetricsCopy Collect() const;

private:
  const Settings& settings_;
  ControlPlane& controlPlane_;
  const coordination::CallMetrics& callMetrics_;
};

} // namespace teaselhold::daemon
