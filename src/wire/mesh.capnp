@0xd3a1c5b7e9f20461;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("deckhall::mesh");

# Messages between the controllers of one deployment.

struct Frame {
  id @0 :UInt64;          # chosen by the caller; the response has the same id
  target @1 :Text;        # label of the destination controller; others forward the frame
  hops @2 :UInt8;         # number of times the frame was forwarded
  union {
    none @3 :Void;
    ping @4 :Ping;
    userRequest @5 :UserRequest;
    userResponse @6 :UserResponse;
    report @7 :Report;
    reportResponse @8 :ReportResponse;
  }
}

struct Ping {
  label @0 :Text;
  instance @1 :UInt64;
  leading @2 :Bool;       # the sender considers its own lease valid
  term @3 :UInt64;        # highest term known to the sender
  leader @4 :Text;        # label of that term's leader, empty if unknown
  reaches @5 :List(Text); # labels of the peers heard from recently
  holding @6 :Bool;       # the sender still answers reports for its term
  informed @7 :Bool;      # the sender's process has read the term from the state service
}

struct Job {
  id @0 :Text;
  jobClass @1 :Text;
  team @2 :Text;
  service @3 :Bool;
  priority @4 :UInt8;
  tasks @5 :UInt32;
  cores @6 :Float64;
  gpus @7 :Float64;
  memoryGb @8 :Float64;
  image @9 :Text;
  imageGb @10 :Float64;
  anyType @11 :Bool;
  types @12 :List(Text);
  zone @13 :Text;
  oneZone @14 :Bool;
  apart @15 :Bool;
  spot @16 :Bool;
  estimateS @17 :Float64;
  checkpointS @18 :Float64;
  saveS @19 :Float64;
  deadlineS @20 :Float64; # negative if unset
  gang @21 :Bool;
}

struct UserRequest {
  op @0 :UInt8;           # 0 get, 1 cancel, 2 submit
  id @1 :Text;
  invalid @2 :Text;       # submit: the fault in the body, empty if valid; known jobs ignore it
  job @3 :Job;
}

struct UserResponse {
  status @0 :UInt16;
  state @1 :UInt8;
  done @2 :UInt32;
  running @3 :UInt32;
  error @4 :Text;
  retryAfterS @5 :UInt16;
}

struct TaskReport {
  task @0 :Text;
  attempt @1 :UInt64;
  state @2 :UInt8;
  why @3 :UInt8;
  saved @4 :Bool;
}

struct Report {
  machine @0 :Text;
  endpoint @1 :Text;
  type @2 :Text;
  zone @3 :Text;
  spot @4 :Bool;
  session @5 :UInt64;
  seq @6 :UInt64;
  token @7 :UInt64;
  noticeS @8 :Float64;    # negative if unset
  tasks @9 :List(TaskReport);
}

struct Command {
  op @0 :UInt8;
  task @1 :Text;
  attempt @2 :UInt64;
  graceS @3 :Float64;
}

struct ReportResponse {
  status @0 :UInt16;
  token @1 :UInt64;
  reportTo @2 :Text;
  commands @3 :List(Command);
}
