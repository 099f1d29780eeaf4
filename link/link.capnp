@0xb7e3c1a95d2f4086;

# Messages between entries and agents. A connection carries a sequence of
# batches. Each batch is preceded by its length in bytes as a 32-bit
# little-endian integer.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("comfreyshift::link_wire");

struct Batch {
  messages @0 :List(Message);
}

struct Message {
  union {
    hello @0 :Hello;
    welcome @1 :Welcome;
    claim @2 :Claim;
    startRun @3 :StartRun;
    stopRun @4 :StopRun;
    runnerStatus @5 :RunnerStatus;
    runReport @6 :RunReport;
    relayRead @7 :RelayRead;
    relayAnswer @8 :RelayAnswer;
    operatorState @9 :OperatorState;
  }
}

struct Hello {
  entry @0 :Text;
  incarnation @1 :UInt64;
  # 0 from versions that lack this field.
  version @2 :UInt32;
}

struct Welcome {
  agent @0 :Text;
  incarnation @1 :UInt64;
  # 0 from versions that lack this field.
  version @2 :UInt32;
}

struct Claim {
  agentClockUs @0 :Int64;
  statusIntervalUs @1 :Int64;
}

struct Run {
  job @0 :Text;
  step @1 :UInt32;
  index @2 :UInt32;
  number @3 :UInt64;
}

struct Resources {
  cpuMillis @0 :Int64;
  memoryMb @1 :Int64;
  gpus @2 :Int64;
}

struct StartRun {
  run @0 :Run;
  sequence @1 :UInt64;
  service @2 :Text;
  payload @3 :Text;
  demand @4 :Resources;
  expectedUs @5 :Int64;
  urgency @6 :Int64;
  abandonInUs @7 :Int64;
  queueForUs @8 :Int64;
  agentClockUs @9 :Int64;
  # What the entry knew of the operator's state when it placed the run. The age
  # is the time since its last response from the store; -1: it has had none.
  operatorRevision @10 :UInt64;
  operatorStateAgeUs @11 :Int64;
}

struct StopRun {
  run @0 :Run;
}

struct RunnerStatus {
  agentClockUs @0 :Int64;
  sequence @1 :UInt64;
  isAccepting @2 :Bool;
  service @3 :Text;
  zone @4 :Text;
  labels @5 :List(Text);
  capacity @6 :Resources;
  free @7 :Resources;
  slowness @8 :Float64;
  runnerBornMs @9 :Int64;
}

struct RunReport {
  run @0 :Run;
  outcome @1 :UInt8;
  hasRun @2 :Bool;
  runTimeUs @3 :Int64;
}

struct RelayRead {
  id @0 :UInt64;
  request @1 :Text;
  giveUpInUs @2 :Int64;
}

struct OperatorState {
  revision @0 :UInt64;
  closedZones @1 :List(Text);
}

struct RelayAnswer {
  id @0 :UInt64;
  isAnswered @1 :Bool;
  status @2 :Int32;
  body @3 :Data;
}
