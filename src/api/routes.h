// The routes of the HTTP API. Source: PROTOCOL, "Users -> controller nodes" and
// "Workers -> controller nodes".
//
// Invariant: a path belongs to at most one route, and a route has one method.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace deckhall {

enum class RouteId {
  kHealth,     // GET /up
  kHeartbeat,  // POST /checkin
  kSubmitJob,  // POST /api/jobs
  kGetJob,     // GET /api/jobs/{id}
  kCancelJob,  // POST /api/jobs/{id}/cancel
};

struct RouteMatch {
  RouteId route = RouteId::kHealth;
  const char* method = "";  // the only allowed method
  std::string job_id;  // the part that matches {id}, not validated; empty for routes without {id}
};

// The route of a path, which must not include the query; std::nullopt if the path is unknown.
std::optional<RouteMatch> MatchRoute(std::string_view path);

}  // namespace deckhall
