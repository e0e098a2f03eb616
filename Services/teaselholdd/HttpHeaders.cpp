#include "Services/teaselholdd/HttpHeaders.h"

#include "Protocol/Headers.h"

#include <array>
#include <vector>

namespace teaselhold::daemon {

namespace {

namespace http = boost::beast::http;
namespace headers = protocol::headers;

constexpr std::array kHopHeaders{
  http::field::connection,
  http::field::keep_alive,
  http::field::proxy_connection,
  http::field::proxy_authenticate,
  http::field::proxy_authorization,
  http::field::te,
  http::field::trailer,
  http::field::transfer_encoding,
  http::field::upgrade,
  http::field::expect,
};

boost::string_view
ToBoost(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

std::string_view
ReadHeader(const HttpFields& aFields, std::string_view aName)
{
  const auto value = aFields[ToBoost(aName)];
  return { value.data(), value.size() };
}

void
SetHeader(HttpFields& aFields, std::string_view aName, std::string_view aValue)
{
  aFields.set(ToBoost(aName), ToBoost(aValue));
}

void
RemoveHopHeaders(HttpFields& aFields)
{
  std::vector<std::string> named;
  const auto range = aFields.equal_range(http::field::connection);
  for (auto field = range.first; field != range.second; ++field) {
    for (const auto& token : http::token_list(field->value())) {
      named.emplace_back(token.data(), token.size());
    }
  }
  for (const auto& name : named) {
    // The length belongs to the message even if Connection names it.
    if (!boost::beast::iequals(name, "content-length")) {
      aFields.erase(name);
    }
  }
  for (const auto field : kHopHeaders) {
    aFields.erase(field);
  }
}

bool
IsNodeCall(const transport::HttpRequest& aRequest, std::string_view aPath)
{
  const auto target = aRequest.target();
  return std::string_view(target.data(), target.size()) == aPath &&
         aRequest.count(headers::kService) == 0;
}

void
RemoveNodeHeaders(HttpFields& aFields)
{
  for (const auto* name : { headers::kService,
                            headers::kClass,
                            headers::kIdempotent,
                            headers::kPriority,
                            headers::kTenantLimit,
                            headers::kExecutor,
                            headers::kClaim,
                            headers::kRequestId,
                            headers::kGeneration,
                            headers::kOutcome,
                            headers::kReason,
                            headers::kMaxWait,
                            headers::kUsefulWait,
                            headers::kAnswerBytes,
                            headers::kAnswerTime,
                            headers::kFinalTry,
                            headers::kRolloutOrder,
                            headers::kRouteLabel,
                            headers::kRollouts }) {
    aFields.erase(name);
  }
}

void
RemoveAnswerHeaders(HttpFields& aFields)
{
  for (const auto* name : { headers::kOutcome,
                            headers::kReason,
                            headers::kGeneration,
                            headers::kNewest,
                            headers::kRequestId,
                            headers::kLoad,
                            headers::kRetryAfter,
                            headers::kRollouts,
                            headers::kEvidence }) {
    aFields.erase(name);
  }
}

} // namespace teaselhold::daemon
