@0xd2a1c6f0b8e94d17;

# Messages between the processes of the system. Times on the wire are lengths: the receiver turns them into deadlines on
# its own clock. Enumerations travel as the numbers of dispatch/messages.h and are checked on receipt.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("comfreyshift::wire");

struct ProcessId {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct TaskSpec {
  request @0 :Text;
  payload @1 :Data;
  declaredRunTimeMs @2 :UInt64;
  memoryMb @3 :UInt64;
  needsAccelerator @4 :Bool;
}

struct TaskRef {
  key @0 :Data;
  index @1 :UInt32;
}

struct Submission {
  key @0 :Data;
  firstSentMs @1 :Int64;
  client @2 :Text;
  tasks @3 :List(TaskSpec);
  timeLeftUs @4 :Int64;
}

struct TaskAnswer {
  status @0 :UInt32;
  body @1 :Data;
}

struct JobAnswer {
  union {
    complete @0 :List(TaskAnswer);
    failed :group {
      failure @1 :UInt8;
      detail @2 :Text;
    }
    notRun :group {
      reason @3 :UInt8;
      notRunDetail @4 :Text;
    }
  }
}

struct TaskOutcome {
  union {
    done :group {
      answer @0 :TaskAnswer;
      runTimeUs @1 :Int64;
    }
    notStarted @2 :UInt8;
    mayHaveRun @3 :Void;
  }
}

struct Load {
  running @0 :UInt32;
  queued @1 :UInt32;
  slots @2 :UInt32;
  # Of the queued tasks, those of the owner that the reply goes to; -1 when not known.
  queuedOfOwner @3 :Int64 = -1;
}

struct StartCommand {
  partition @0 :UInt32;
  epoch @1 :UInt64;
  owner @2 :ProcessId;
  task @3 :TaskRef;
  firstSentMs @4 :Int64;
  client @5 :Text;
  spec @6 :TaskSpec;
  timeLeftUs @7 :Int64;
  attempt @8 :UInt64;
  dueInUs @9 :Int64;
}

struct StartReply {
  task @0 :TaskRef;
  outcome @1 :TaskOutcome;
  load @2 :Load;
  attempt @3 :UInt64;
}

struct SettleCommand {
  partition @0 :UInt32;
  epoch @1 :UInt64;
  task @2 :TaskRef;
  firstSentMs @3 :Int64;
  attempt @4 :UInt64;
}

struct StartRecord {
  task @0 :TaskRef;
  firstSentMs @1 :Int64;
  ended @2 :Bool;
  outcome @3 :TaskOutcome;
  agent @4 :ProcessId;
  epoch @5 :UInt64;
  attempt @6 :UInt64;
}

struct PartitionEpoch {
  partition @0 :UInt32;
  epoch @1 :UInt64;
}

struct CollectCommand {
  owner @0 :ProcessId;
  partitions @1 :List(PartitionEpoch);
}

struct CollectReply {
  accepted @0 :Bool;
  records @1 :List(StartRecord);
  histories @2 :List(PartitionHistory);
}

struct PartitionHistory {
  partition @0 :UInt32;
  epoch @1 :UInt64;
  unknownBeforeMs @2 :Int64;
}

struct AdoptCommand {
  epochs @0 :List(PartitionEpoch);
  records @1 :List(StartRecord);
}

struct ConfigEntry {
  key @0 :Text;
  value @1 :Data;
  modRevision @2 :UInt64;
}

struct ConfigChanges {
  revision @0 :UInt64;
  entries @1 :List(ConfigEntry);
  since @2 :UInt64;
}

struct SubjectStatus {
  subject @0 :Text;
  lastStartMs @1 :Int64;
  running @2 :UInt32;
}

struct StatusReply {
  revision @0 :UInt64;
  freshLeftUs @1 :Int64;
  running @2 :UInt32;
  queued @3 :UInt32;
  starts @4 :UInt64;
  jobs @5 :UInt32;
  subjects @6 :List(SubjectStatus);
}

interface Peer {
  # Ends when the job has ended, or at once with a redirect when this process does not own the submission.
  # `revision` is the configuration that the sender applies; an owner with an older one redirects.
  submit @0 (submission :Submission, revision :UInt64) -> (redirect :Bool, reason :UInt8, answer :JobAnswer);
  fetch @1 (key :Data) -> (known :Bool, answer :JobAnswer);
  cancel @2 (key :Data) -> (known :Bool);
  # Ends when the task has ended or was refused.
  start @3 (command :StartCommand) -> (reply :StartReply);
  settle @4 (command :SettleCommand) -> (reply :StartReply);
  cancelTask @5 (task :TaskRef) -> ();
  collect @6 (command :CollectCommand) -> (reply :CollectReply);
  config @7 (since :UInt64) -> (changes :ConfigChanges);
  status @8 (subjects :List(Text)) -> (status :StatusReply);
  # Takes over start records of a member that leaves.
  adopt @9 (command :AdoptCommand) -> (accepted :Bool);
  # Asks an entry to take a member that has handed its records over out of the table.
  leave @10 (member :ProcessId) -> (accepted :Bool);
}

# What a new connection offers. Both ends prove that they hold the fleet key before any call of Peer.
interface Gate {
  challenge @0 (clientNonce :Data) -> (serverNonce :Data, serverProof :Data);
  login @1 (clientProof :Data) -> (peer :Peer);
}
