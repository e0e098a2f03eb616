#include "Protocol/ConfigurationText.h"
#include "Services/teaselholdd/AdminServer.h"
#include "Services/teaselholdd/DataPlane.h"
#include "Services/teaselholdd/Logs.h"
#include "Services/teaselholdd/MetricsServer.h"
#include "Services/teaselholdd/SettingsReload.h"
#include "Transport/Limits/PeerLimits.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <malloc.h>
#include <pthread.h>
#include <spdlog/spdlog.h>
#include <thread>

DEFINE_string(config, "", "the settings file (INI)");
DEFINE_string(config_variable,
              "",
              "the environment variable that holds the settings file's path");
DEFINE_bool(check_config, false, "check the settings and exit");

namespace {

using namespace teaselhold;

constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

struct LoadedSettings
{
  std::string text;
  daemon::Settings settings;
};

std::optional<LoadedSettings>
LoadSettings(const std::string& aPath)
{
  auto text = daemon::ReadTextFile(aPath);
  if (!text) {
    std::cerr << aPath << ": cannot be read\n";
    return std::nullopt;
  }
  auto checked = daemon::ParseSettings(*text);
  if (!checked) {
    std::cerr << protocol::FormatErrors(aPath, checked.error());
    return std::nullopt;
  }
  for (auto& warning : checked->warnings) {
    warning.message = "warning: " + warning.message;
  }
  std::cerr << protocol::FormatErrors(aPath, checked->warnings);
  return LoadedSettings{ std::move(*text), std::move(checked->settings) };
}

/// The wall clock in milliseconds; a later process has a higher incarnation.
std::uint64_t
MakeIncarnation()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

int
FailStart(const transport::TransportError& aError)
{
  spdlog::error("[node] Start failed. reason=\"{}\"", aError.message);
  return kExitFailed;
}

/// Gives the tenants of each new version their own rows in the metrics.
class TenantNamer
{
public:
  explicit TenantNamer(coordination::CallMetrics& aMetrics)
    : metrics_(aMetrics)
  {
  }

  void Take(const coordination::RoutingSnapshotPointer& aSnapshot)
  {
    // Endpoints change far more often than the text.
    if (aSnapshot->configuration != nullptr &&
        aSnapshot->configuration != last_) {
      last_ = aSnapshot->configuration;
      metrics_.SetTenants(*last_);
    }
  }

private:
  coordination::CallMetrics& metrics_;
  state::ConfigurationPointer last_;
};

/// Waits for a signal that ends the process. Meanwhile it reads the settings
/// file at SIGHUP, and when it changed without a signal.
/// @return the signal.
int
WaitForStop(const sigset_t& aSignals, daemon::SettingsReload& aReload)
{
  // Two looks at an unchanged file take a silent change within a second.
  constexpr timespec kInterval{ 0, 500'000'000 };
  while (true) {
    const int signal = sigtimedwait(&aSignals, nullptr, &kInterval);
    if (signal == SIGHUP) {
      aReload.Read();
    } else if (signal > 0) {
      return signal;
    } else {
      aReload.Poll();
    }
  }
}

/// Logs the signals that come while the node drains; they change nothing.
class DrainSignals
{
public:
  explicit DrainSignals(const sigset_t& aSignals)
    : thread_([signals = aSignals](const std::stop_token& aStop) {
      constexpr timespec kCheckInterval{ 0, 50'000'000 };
      while (!aStop.stop_requested()) {
        const int signal = sigtimedwait(&signals, nullptr, &kCheckInterval);
        if (signal > 0) {
          spdlog::info("[node] Signal while draining; it changes nothing. "
                       "signal={}",
                       signal);
        }
      }
    })
  {
  }

private:
  std::jthread thread_;
};

int
Run(const LoadedSettings& aLoaded,
    const std::string& aPath,
    const sigset_t& aSignals)
{
  const auto& settings = aLoaded.settings;
  const daemon::Clock clock;
  const auto incarnation = MakeIncarnation();
  transport::PeerLimits::OfProcess()->SetHost(settings.memoryMegabytes,
                                              settings.maxDescriptors);
  const auto adapters = daemon::MakeAdapters(settings);
  coordination::CallMetrics callMetrics;
  TenantNamer tenantNamer(callMetrics);
  std::unique_ptr<daemon::ControlPlane> controlPlane;
  daemon::DataPlane dataPlane(
    settings,
    adapters,
    clock,
    incarnation,
    [&](coordination::UpstreamChanged aChange) {
      controlPlane->Post(std::move(aChange));
    },
    [&](coordination::UpstreamDeparted aDeparture) {
      controlPlane->Post(std::move(aDeparture));
    },
    [&](std::uint64_t aFingerprint) {
      controlPlane->Post(coordination::CrashObserved{ aFingerprint });
    },
    [&](const coordination::PeerVersionSeen& aSeen) {
      controlPlane->Post(aSeen);
    },
    [&](coordination::ReaderAnswered aAnswer) { controlPlane->Post(aAnswer); },
    [&](coordination::ChangesAnswered aAnswer) {
      controlPlane->Post(std::move(aAnswer));
    },
    [&](coordination::RolloutsSeen aSeen) {
      controlPlane->Post(std::move(aSeen));
    },
    callMetrics);
  controlPlane = std::make_unique<daemon::ControlPlane>(
    settings,
    adapters,
    clock,
    incarnation,
    daemon::ControlPlane::Sinks{
      [&](coordination::RoutingSnapshotPointer aSnapshot) {
        tenantNamer.Take(aSnapshot);
        dataPlane.SetSnapshot(std::move(aSnapshot));
      },
      [&](std::uint64_t aSaveNumber) {
        dataPlane.OnDepartureSaved(aSaveNumber);
      },
      [&](const coordination::RestoreUpstream& aRestored) {
        dataPlane.RestoreUpstream(aRestored);
      },
      [&](const coordination::AskReader& aQuestion) {
        dataPlane.AskReader(aQuestion);
      },
      [&](coordination::ReaderRole aRole) { dataPlane.SetReaderRole(aRole); },
      [&](const coordination::AskChanges& aQuestion) {
        dataPlane.AskChanges(aQuestion);
      },
      [&](const coordination::SetRecentChanges& aChanges) {
        dataPlane.SetRecentChanges(aChanges);
      },
      [&](const coordination::Attestation& aAttestation) {
        dataPlane.OnAttested(aAttestation);
      },
      [&](state::Instant aTime) { dataPlane.OnChecked(aTime); },
      [&](const coordination::SetRollouts& aRollouts) {
        dataPlane.SetRollouts(aRollouts);
      } });
  for (const auto& started : { dataPlane.Start(), controlPlane->Start() }) {
    if (!started) {
      return FailStart(started.error());
    }
  }
  const daemon::MetricsSource metrics(
    settings, *controlPlane, dataPlane, callMetrics);
  std::unique_ptr<daemon::AdminServer> admin;
  if (!settings.adminAddress.empty()) {
    auto server = daemon::AdminServer::Listen(
      settings, adapters, *controlPlane, metrics, clock);
    if (!server) {
      return FailStart(server.error());
    }
    admin = std::move(*server);
  }
  std::unique_ptr<daemon::MetricsServer> metricsServer;
  if (!settings.metricsAddress.empty()) {
    auto server =
      daemon::MetricsServer::Listen(settings.metricsAddress, metrics);
    if (!server) {
      return FailStart(server.error());
    }
    metricsServer = std::move(*server);
  }
  spdlog::info("[node] Started. name={} service={} incarnation={} callers={} "
               "admin={} metrics={}",
               settings.nodeName,
               settings.service,
               incarnation,
               settings.callerAddress,
               settings.adminAddress,
               settings.metricsAddress.empty() ? "none"
                                               : settings.metricsAddress);
  daemon::SettingsReload reload(
    aPath, aLoaded.text, settings, [&](const daemon::Settings& aTaken) {
      dataPlane.TakeSettings(aTaken);
    });
  const int signal = WaitForStop(aSignals, reload);
  spdlog::info("[node] Draining. signal={} timeout_milliseconds={}",
               signal,
               reload.Current().drainTimeout.count());
  {
    const DrainSignals drainSignals(aSignals);
    dataPlane.DrainAndStop();
  }
  metricsServer.reset();
  admin.reset();
  controlPlane->Stop();
  spdlog::info("[node] Stopped.");
  return kExitDone;
}

/// Lets the allocator return large bodies to the system at once. By default it
/// keeps freed blocks of up to 32 MiB, and the resident memory exceeded the
/// budget of what peers send by a quarter.
void
BoundAllocator()
{
  constexpr int kMappedBytes = 1024 * 1024;
  constexpr int kKeptBytes = 4 * 1024 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  mallopt(M_TRIM_THRESHOLD, kKeptBytes);
}

/// Blocks the signals that WaitForStop takes. Called before anything else: a
/// signal that comes while the process starts waits, and each later thread
/// blocks them too. One that did not would take signals that come after
/// SIGTERM, and end the process with its requests.
sigset_t
BlockSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto signals = BlockSignals();
  BoundAllocator();
  gflags::SetUsageMessage(
    "teaselholdd --config FILE | --config_variable NAME [--check-config]");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (FLAGS_config.empty() && !FLAGS_config_variable.empty()) {
    const char* path = std::getenv(FLAGS_config_variable.c_str());
    FLAGS_config = path == nullptr ? "" : path;
  }
  if (FLAGS_config.empty()) {
    std::cerr << "teaselholdd: --config FILE is required\n";
    return kExitUsage;
  }
  const auto settings = LoadSettings(FLAGS_config);
  if (!settings) {
    return kExitFailed;
  }
  if (FLAGS_check_config) {
    std::cout << FLAGS_config << ": valid\n";
    return kExitDone;
  }
  daemon::SetUpLogs(settings->settings.logLevel);
  const int code = Run(*settings, FLAGS_config, signals);
  daemon::FinishLogs();
  return code;
}
