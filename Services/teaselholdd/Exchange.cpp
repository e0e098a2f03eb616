#include "Services/teaselholdd/Exchange.h"

#include "Protocol/Headers.h"
#include "Services/teaselholdd/HttpHeaders.h"

namespace teaselhold::daemon {

namespace {

using namespace coordination;
namespace http = boost::beast::http;
namespace headers = protocol::headers;

struct OutcomeResponse
{
  Response operator()(const Answered& aOutcome) const
  {
    Response response;
    response.result(aOutcome.status);
    SetHeader(response, headers::kOutcome, "answered");
    return response;
  }

  Response operator()(const NotRun& aOutcome) const
  {
    auto response =
      Explain(StatusOf(aOutcome.reason),
              "not-run",
              state::FindEnumName(kNotRunReasonNames, aOutcome.reason));
    if (aOutcome.retryAfter.count() > 0) {
      const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
        aOutcome.retryAfter);
      SetHeader(
        response, headers::kRetryAfter, std::to_string(time.count() + 1));
    }
    return response;
  }

  Response operator()(const Unknown& aOutcome) const
  {
    return Explain(aOutcome.reason == UnknownReason::Timeout
                     ? http::status::gateway_timeout
                     : http::status::bad_gateway,
                   "unknown",
                   state::FindEnumName(kUnknownReasonNames, aOutcome.reason));
  }

private:
  static http::status StatusOf(NotRunReason aReason)
  {
    switch (aReason) {
      case NotRunReason::NoRoute:
      case NotRunReason::ServiceNotReachable:
        return http::status::not_found;
      case NotRunReason::TenantLimit:
      case NotRunReason::QuotaExceeded:
        return http::status::too_many_requests;
      case NotRunReason::BadRequest:
        return http::status::bad_request;
      case NotRunReason::AccountKeyMissing:
      case NotRunReason::AccountKeyUnknown:
        return http::status::unauthorized;
      default:
        return http::status::service_unavailable;
    }
  }

  static Response Explain(http::status aStatus,
                          std::string_view aOutcome,
                          std::string_view aReason)
  {
    Response response;
    response.result(aStatus);
    SetHeader(response, headers::kOutcome, aOutcome);
    SetHeader(response, headers::kReason, aReason);
    response.body() = std::string(aReason) + "\n";
    return response;
  }
};

} // namespace

Response
MakeResponse(const Outcome& aOutcome)
{
  return std::visit(OutcomeResponse{}, aOutcome);
}

Outcome
ToOutcome(const transport::TransportError& aError)
{
  switch (aError.code) {
    case transport::TransportErrorCode::InvalidAddress:
    case transport::TransportErrorCode::BindFailed:
    case transport::TransportErrorCode::ConnectFailed:
      return NotRun{ NotRunReason::ConnectFailed };
    case transport::TransportErrorCode::Timeout:
      return Unknown{ UnknownReason::Timeout };
    case transport::TransportErrorCode::NotInvited:
      return NotRun{ NotRunReason::DeadlineExceeded };
    case transport::TransportErrorCode::PartialAnswer:
      return Unknown{ UnknownReason::PartialAnswer };
    case transport::TransportErrorCode::ForeignAnswer:
      return Unknown{ UnknownReason::CrossedAnswer };
    case transport::TransportErrorCode::ConnectionLost:
    case transport::TransportErrorCode::Cancelled:
      break;
  }
  return Unknown{ UnknownReason::ConnectionLost };
}

Outcome
ReadOutcome(const Response& aResponse)
{
  const auto outcome = ReadHeader(aResponse, headers::kOutcome);
  const auto reason = ReadHeader(aResponse, headers::kReason);
  if (outcome == "answered") {
    return Answered{ aResponse.result_int() };
  }
  if (outcome == "not-run") {
    const auto known = state::FindEnumValue(kNotRunReasonNames, reason);
    const auto retryAfter =
      ReadNumber<std::uint32_t>(aResponse, headers::kRetryAfter);
    return NotRun{ known.value_or(NotRunReason::NotReady),
                   std::chrono::milliseconds(retryAfter.value_or(0)) };
  }
  const auto known = state::FindEnumValue(kUnknownReasonNames, reason);
  return Unknown{ known.value_or(UnknownReason::ConnectionLost) };
}

} // namespace teaselhold::daemon
