#include "Services/teaselholdd/UpstreamSide.h"

#include "Protocol/Headers.h"
#include "Services/teaselholdd/HttpHeaders.h"

namespace teaselhold::daemon {

namespace {

using namespace coordination;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace headers = protocol::headers;

Exchange
Refuse(NotRunReason aReason)
{
  return { NotRun{ aReason }, MakeResponse(NotRun{ aReason }), 0 };
}

} // namespace

UpstreamSide::UpstreamSide(asio::io_context& aContext,
                           const Settings& aSettings,
                           const Clock& aClock,
                           UpstreamLink::StateSink aStateSink,
                           UpstreamLink::CrashSink aCrashSink)
  : context_(aContext)
  , settings_(aSettings)
  , clock_(aClock)
  , admission_(std::make_shared<AdmissionQueue>(aContext,
                                                aClock,
                                                aSettings.upstreamSlots))
  , upstream_(
      aContext,
      aSettings,
      aClock,
      [queue = admission_,
       sink = std::move(aStateSink)](state::EndpointState aState) {
        queue->SetState(aState);
        sink(aState);
      },
      std::move(aCrashSink))
{
}

void
UpstreamSide::Start()
{
  asio::co_spawn(context_, upstream_.Probe(), asio::detached);
}

void
UpstreamSide::Drain()
{
  upstream_.Drain();
}

asio::awaitable<Response>
UpstreamSide::ServeNode(Request aRequest,
                        transport::CancellationPointer aCancellation)
{
  if (aRequest.target() == headers::kProbePath) {
    Response response;
    response.result(http::status::no_content);
    co_return response;
  }
  const std::string id(ReadHeader(aRequest, headers::kRequestId));
  auto exchange = co_await Serve(aRequest, std::move(aCancellation));
  SetHeader(exchange.response, headers::kRequestId, id);
  co_return std::move(exchange.response);
}

asio::awaitable<Exchange>
UpstreamSide::ServeLocal(Request& aRequest,
                         transport::CancellationPointer aCancellation)
{
  return Serve(aRequest, std::move(aCancellation));
}

asio::awaitable<Exchange>
UpstreamSide::Serve(Request& aRequest,
                    transport::CancellationPointer aCancellation)
{
  if (ReadHeader(aRequest, headers::kService) != settings_.service) {
    co_return Refuse(NotRunReason::WrongService);
  }
  const auto admission = ReadAdmission(aRequest);
  if (!admission) {
    co_return Refuse(NotRunReason::BadRequest);
  }
  co_return co_await Run(aRequest, *admission, std::move(aCancellation));
}

asio::awaitable<Exchange>
UpstreamSide::Run(Request& aRequest,
                  const AdmissionRequest& aAdmission,
                  transport::CancellationPointer aCancellation)
{
  const auto refused = co_await admission_->Enter(aAdmission, aCancellation);
  if (refused) {
    co_return Refuse(refused->reason);
  }
  const AdmissionQueue::Slot slot(admission_, aAdmission.id);
  co_return co_await upstream_.Deliver(
    aRequest, aAdmission.deadline, std::move(aCancellation));
}

std::optional<AdmissionRequest>
UpstreamSide::ReadAdmission(const Request& aRequest)
{
  const auto requestClass = state::FindEnumValue(
    state::kRequestClassNames, ReadHeader(aRequest, headers::kClass));
  const auto remaining =
    ReadNumber<std::uint32_t>(aRequest, headers::kDeadline);
  if (!requestClass || !remaining) {
    return std::nullopt;
  }
  AdmissionRequest admission;
  admission.id = nextRequest_++;
  admission.requestClass = *requestClass;
  admission.tenant = ReadHeader(aRequest, headers::kTenant);
  admission.tenantLimit =
    ReadNumber<std::uint32_t>(aRequest, headers::kTenantLimit).value_or(0);
  admission.deadline = clock_.Now() + std::chrono::milliseconds(*remaining);
  return admission;
}

} // namespace teaselhold::daemon
