// Direct calls to the agents on the machines: commands and probes.
//
// Implemented by HttpWorkerClient. Used by Leader, from the event loop only; callbacks run on the
// event loop after the call has returned.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "wire/types.h"

namespace deckhall {

// The outcome of a call.
struct WorkerResponse {
  int status = 0;     // HTTP status 200, 409, or that of a refusal; 0 without a usable response
  bool sent = false;  // whether the request may have reached the agent
  // Whether the agent, or another server at its endpoint, refused the request without executing it
  // (HTTP status 4xx except 409).
  bool refused = false;
  bool has_heartbeat = false;
  Heartbeat heartbeat;  // the state after the commands; valid if `has_heartbeat`
};

class WorkerClient {
 public:
  using Done = std::function<void(WorkerResponse)>;
  virtual ~WorkerClient() = default;
  // Sends commands to `endpoint` (host:port). The agent responds with 409 and executes no command
  // if it has seen a higher fencing token or its epoch differs (PROTOCOL, "POST /do"). A request
  // that has timed out may still be executed later.
  virtual void SendCommands(const std::string& endpoint, uint64_t fencing_token,
                            uint64_t agent_epoch, const CommandBatch& commands, double timeout_s,
                            Done done) = 0;
  // Requests the current state of the machine (PROTOCOL, "GET /inspect").
  virtual void Probe(const std::string& endpoint, double timeout_s, Done done) = 0;
};

}  // namespace deckhall
