#pragma once

#include "Transport/Cancellation.h"
#include "Transport/HttpMessages.h"

#include <chrono>
#include <deque>
#include <fstream>
#include <string>

namespace teaselhold::stand_ins {

struct UpstreamOptions
{
  std::string name;
  std::uint32_t slots = 12;
  std::chrono::milliseconds work{ 1 };
  std::chrono::milliseconds slowWork{ 500 };
  std::chrono::milliseconds coldStart{ 0 };
  /// Age of the state that the health and load endpoints tell.
  std::chrono::milliseconds healthLag{ 0 };
  /// honest, healthy or unhealthy; the latter two whatever the state is.
  std::string health = "honest";
  std::string runLog;
};

/// What the connection does with a request after its run.
enum class Fault : std::uint8_t
{
  None,
  /// Ends the connection in the middle of the answer.
  Partial,
  /// Never answers and leaves the connection open.
  Silent,
  /// Ends the connection without an answer.
  Reset,
};

struct Reply
{
  transport::HttpResponse response;
  Fault fault = Fault::None;
};

/// Runs requests like an upstream of the mesh. The end of the path chooses a
/// fault: /crash ends the process, /hang runs until it is cancelled, /slow
/// takes long, /partial, /silent and /reset see Fault.
///
/// Control: POST /stand-in/drain, POST /stand-in/health with the mode as body,
/// GET /stand-in/counters.
class Upstream
{
public:
  Upstream(boost::asio::io_context& aContext, UpstreamOptions aOptions);

  boost::asio::awaitable<Reply> Handle(
    const transport::HttpRequest& aRequest,
    transport::CancellationPointer aCancellation);

private:
  using Clock = std::chrono::steady_clock;

  /// What the health and load endpoints tell.
  struct Sample
  {
    Clock::time_point time;
    bool isReady = false;
    std::uint32_t running = 0;
  };

  transport::HttpResponse Control(const std::string& aTarget,
                                  const std::string& aBody);
  transport::HttpResponse Health();
  boost::asio::awaitable<Reply> Run(
    const transport::HttpRequest& aRequest,
    const std::string& aTarget,
    transport::CancellationPointer aCancellation);
  bool IsReady() const;
  Sample LaggingSample();
  void RecordRun(const transport::HttpRequest& aRequest);

  boost::asio::io_context& context_;
  UpstreamOptions options_;
  std::ofstream runLog_;
  Clock::time_point started_ = Clock::now();
  std::deque<Sample> samples_;
  bool draining_ = false;
  std::uint32_t running_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t shed_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t expired_ = 0;
};

} // namespace teaselhold::stand_ins
