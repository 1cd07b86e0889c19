// The HTTP status codes that controllers send. Source: PROTOCOL, the tables of statuses under
// "Users -> controller nodes" and "Workers -> controller nodes".
#pragma once

namespace deckhall::http_status {

constexpr int kOk = 200;
constexpr int kCreated = 201;  // the job is accepted
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kMisdirectedRequest = 421;  // the worker reports to another controller
constexpr int kServiceUnavailable = 503;

// The first status that is no success.
constexpr int kFirstUnsuccessful = 300;

}  // namespace deckhall::http_status
