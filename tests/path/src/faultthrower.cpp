#include "faultthrower.h"

namespace magnolia::path
{

namespace
{

constexpr int LostReplies = 3;

} // namespace

void FaultThrower::begin(const Fault &fault)
{
    Member &member = memberOf(fault);
    hit_[fault.kind] = member.process.get();
    switch (fault.kind) {
    case FaultKind::AgentKilled:
    case FaultKind::BookingAgentKilled:
    case FaultKind::EntryKilled:
        member.process->kill();
        break;
    case FaultKind::AgentFrozen:
    case FaultKind::BookingAgentFrozen:
        member.process->freeze();
        break;
    case FaultKind::AgentStopped:
        member.process->terminate();
        break;
    case FaultKind::EngineRestarted:
        deployment_.setFaults(member, {{"restart", true}});
        break;
    case FaultKind::EngineStalled:
        deployment_.setFaults(member, {{"stall_streams", true}});
        break;
    case FaultKind::LinksSilent:
    case FaultKind::EndpointConnectionsSilent:
        member.relay->silence();
        break;
    case FaultKind::PlatformConnectionsSilent:
        member.platformRelay->silence();
        break;
    case FaultKind::TableDown:
        deployment_.setFaults(member, {{"table_down", true}});
        break;
    case FaultKind::TableSilent:
        deployment_.setFaults(member, {{"table_silent", true}});
        break;
    case FaultKind::ObjectsDown:
        deployment_.setFaults(member, {{"objects_down", true}});
        break;
    case FaultKind::TableRepliesLost:
        deployment_.setFaults(member, {{"lose_replies", LostReplies}});
        break;
    case FaultKind::TableWritesDropped:
        deployment_.setFaults(member, {{"drop_writes", LostReplies}});
        break;
    case FaultKind::BookingRepliesLost:
        deployment_.setFaults(member, {{"lose_replies", LostReplies}});
        break;
    }
}

void FaultThrower::lift(const Fault &fault)
{
    Member &member = memberOf(fault);
    switch (fault.kind) {
    case FaultKind::AgentKilled:
    case FaultKind::BookingAgentKilled:
    case FaultKind::EntryKilled:
    case FaultKind::AgentStopped:
        startAgain(fault.kind, member);
        break;
    case FaultKind::AgentFrozen:
    case FaultKind::BookingAgentFrozen:
        member.process->thaw();
        break;
    case FaultKind::EngineStalled:
        deployment_.setFaults(member, {{"stall_streams", false}});
        break;
    case FaultKind::TableDown:
        deployment_.setFaults(member, {{"table_down", false}});
        break;
    case FaultKind::TableSilent:
        deployment_.setFaults(member, {{"table_silent", false}});
        break;
    case FaultKind::ObjectsDown:
        deployment_.setFaults(member, {{"objects_down", false}});
        break;
    case FaultKind::TableRepliesLost:
    case FaultKind::BookingRepliesLost:
        deployment_.setFaults(member, {{"lose_replies", 0}});
        break;
    case FaultKind::TableWritesDropped:
        deployment_.setFaults(member, {{"drop_writes", 0}});
        break;
    case FaultKind::EngineRestarted:
    case FaultKind::LinksSilent:
    case FaultKind::EndpointConnectionsSilent:
    case FaultKind::PlatformConnectionsSilent:
        break;
    }
}

Member &FaultThrower::memberOf(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::BookingAgentKilled:
    case FaultKind::BookingAgentFrozen:
        return deployment_.bookingAgent();
    case FaultKind::EntryKilled:
        return deployment_.entry(fault.member % deployment_.entryCount());
    case FaultKind::PlatformConnectionsSilent:
        return fault.member % 2 == 0 ? deployment_.bookingAgent() : deployment_.entry(fault.member % deployment_.entryCount());
    case FaultKind::EngineRestarted:
    case FaultKind::EngineStalled:
        return deployment_.engine(fault.member % deployment_.engineCount());
    case FaultKind::EndpointConnectionsSilent:
        return fault.member % 2 == 0 ? deployment_.booking() : deployment_.engine(fault.member % deployment_.engineCount());
    case FaultKind::TableDown:
    case FaultKind::TableSilent:
    case FaultKind::ObjectsDown:
    case FaultKind::TableRepliesLost:
    case FaultKind::TableWritesDropped:
        return deployment_.platform();
    case FaultKind::BookingRepliesLost:
        return deployment_.booking();
    case FaultKind::AgentKilled:
    case FaultKind::AgentFrozen:
    case FaultKind::LinksSilent:
    case FaultKind::AgentStopped:
        break;
    }
    return deployment_.agent(fault.member % deployment_.agentCount());
}

// A member that two failures have befallen is started once.
void FaultThrower::startAgain(FaultKind kind, Member &member)
{
    const bool isStartedAlready = member.process.get() != hit_[kind];
    if (isStartedAlready) {
        return;
    }
    // A stop asked of a frozen process is carried out once it goes on.
    member.process->thaw();
    if (deployment_.waitForEnd(member, Duration{10000})) {
        deployment_.startMember(member);
    }
}

} // namespace magnolia::path
