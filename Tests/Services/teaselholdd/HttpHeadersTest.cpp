#include "Services/teaselholdd/HttpHeaders.h"
#include "Protocol/Headers.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::daemon;

TEST_CASE("a forwarded request never reaches the paths of nodes")
{
  // Guards against a caller whose request to such a path is answered by a node
  // in place of the upstream, for example with a departure.
  transport::HttpRequest request(
    boost::beast::http::verb::post, protocol::headers::kDeparturePath, 11);
  CHECK(IsNodeCall(request, protocol::headers::kDeparturePath));
  CHECK_FALSE(IsNodeCall(request, protocol::headers::kReaderPath));
  SetHeader(request, protocol::headers::kService, "visits");
  CHECK_FALSE(IsNodeCall(request, protocol::headers::kDeparturePath));
}
