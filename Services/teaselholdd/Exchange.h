#pragma once

#include "Coordination/CallTypes.h"
#include "Transport/HttpMessages.h"
#include "Transport/TransportError.h"

namespace teaselhold::daemon {

using Request = transport::HttpRequest;
using Response = transport::HttpResponse;
template<typename Value>
using Awaitable = boost::asio::awaitable<Value>;

/// The outcome of one attempt. The response is meaningful with Answered.
struct Exchange
{
  coordination::Outcome outcome;
  Response response;
  /// Retries that the answer hands back.
  unsigned retriesLeft = 0;
  /// How long the upstream worked on it; 0 if nothing was delivered.
  state::Duration serviceTime{ 0 };
};

/// Builds the answer to a request that has no answer of an upstream.
Response
MakeResponse(const coordination::Outcome& aOutcome);

/// Tells what a failed exchange means for the request that it carried.
coordination::Outcome
ToOutcome(const transport::TransportError& aError);

/// Reads the outcome that the node beside the upstream reports.
coordination::Outcome
ReadOutcome(const Response& aResponse);

} // namespace teaselhold::daemon
