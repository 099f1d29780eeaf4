#ifndef RPC_WIRE_H_
#define RPC_WIRE_H_

#include "core/core.h"
#include "rpc/peer.capnp.h"
#include "rpc/peer_messages.h"

// Turns messages into their Cap'n Proto form and back. Read functions throw
// kj::Exception on a value that is out of range, which ends the call with an
// error and leaves the connection open.
namespace comfreyshift::wire_codec {

SubmissionKey ReadKey(capnp::Data::Reader data);

ProcessId Read(wire::ProcessId::Reader in);
void Write(const ProcessId& id, wire::ProcessId::Builder out);

TaskRef Read(wire::TaskRef::Reader in);
void Write(const TaskRef& task, wire::TaskRef::Builder out);

Submission Read(wire::Submission::Reader in, MonoTime now);
void Write(const Submission& submission,
           MonoTime now,
           wire::Submission::Builder out);

JobAnswer Read(wire::JobAnswer::Reader in);
void Write(const JobAnswer& answer, wire::JobAnswer::Builder out);

NotRunReason ReadReason(uint8_t value);

StartCommand Read(wire::StartCommand::Reader in, MonoTime now);
void Write(const StartCommand& command,
           MonoTime now,
           wire::StartCommand::Builder out);

StartReply Read(wire::StartReply::Reader in);
void Write(const StartReply& reply, wire::StartReply::Builder out);

SettleCommand Read(wire::SettleCommand::Reader in);
void Write(const SettleCommand& command, wire::SettleCommand::Builder out);

std::vector<StartRecord> Read(capnp::List<wire::StartRecord>::Reader in);
void Write(const std::vector<StartRecord>& records,
           capnp::List<wire::StartRecord>::Builder out);

CollectCommand Read(wire::CollectCommand::Reader in);
void Write(const CollectCommand& command, wire::CollectCommand::Builder out);

CollectReply Read(wire::CollectReply::Reader in);
void Write(const CollectReply& reply, wire::CollectReply::Builder out);

AdoptCommand Read(wire::AdoptCommand::Reader in);
void Write(const AdoptCommand& command, wire::AdoptCommand::Builder out);

ConfigChanges Read(wire::ConfigChanges::Reader in);
void Write(const ConfigChanges& changes, wire::ConfigChanges::Builder out);

ProcessStatus Read(wire::StatusReply::Reader in);
void Write(const ProcessStatus& status, wire::StatusReply::Builder out);

}  // namespace comfreyshift::wire_codec

#endif  // RPC_WIRE_H_
