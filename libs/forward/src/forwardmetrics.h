#ifndef MAGNOLIA_FORWARD_FORWARDMETRICS_H
#define MAGNOLIA_FORWARD_FORWARDMETRICS_H

#include "observe/metrics.h"

namespace magnolia::forward
{

/** The metrics of an entry that forwards requests. */
class ForwardMetrics
{
public:
    explicit ForwardMetrics(observe::Metrics &metrics)
        : requests(metrics.counter("magnolia_forward_requests_total", "Requests received whole."))
        , attempts(metrics.counter("magnolia_forward_sendings_total", "Requests sent to endpoints, first and repeated."))
        , retries(metrics.counter("magnolia_forward_retries_total", "Sendings beyond the first of a request."))
        , retriesDenied(metrics.counter("magnolia_forward_retries_denied_total", "Retries that the shared budget did not allow."))
        , instances(metrics.gauge("magnolia_forward_instances", "Instances that share the retry budgets and the endpoints' limits, this one included."))
        , answers(metrics.counter("magnolia_forward_answers_total", "Endpoints' answers passed on whole."))
        , refusals(metrics.counter("magnolia_forward_refusals_total", "Requests refused as not run."))
        , withoutSlot(metrics.counter("magnolia_forward_without_place_total", "Streams refused since as many are in progress as stay in time."))
        , failures(metrics.counter("magnolia_forward_failures_total", "Requests that ended without a whole answer and may have run."))
        , hangups(metrics.counter("magnolia_forward_hangups_total", "Requests whose callers left."))
        , resumed(metrics.counter("magnolia_forward_streams_resumed_total", "Streams that went on at another endpoint."))
        , endpointCrashes(metrics.counter("magnolia_forward_ends_under_requests_total", "Requests under which an endpoint ended, each time."))
        , quarantined(metrics.counter("magnolia_forward_quarantined_total", "Requests refused since endpoints ended under their like."))
        , reportedRequests(metrics.gauge("magnolia_forward_reported_requests", "Requests that endpoints were reported to have ended under."))
        , endlessAnswers(metrics.counter("magnolia_forward_endless_answers_total", "Answers given up since they were longer than any may be."))
        , unnamedAnswers(metrics.counter("magnolia_forward_unnamed_answers_total", "Endpoints' answers that name no request, each taken for the one due."))
        , skippedAnswers(metrics.counter("magnolia_forward_skipped_answers_total", "Endpoints' answers that were not to the request in progress."))
        , heldAnswerBytes(metrics.gauge("magnolia_forward_held_answer_bytes", "Bytes held of answers that are not complete."))
        , unreadAnswerBytes(metrics.gauge("magnolia_forward_unread_answer_bytes", "Bytes queued for callers, as of when they were last sent something."))
        , unreadGivenUp(metrics.counter("magnolia_forward_unread_given_up_total", "Callers disconnected since unread answers filled their memory."))
        , heldBodyBytes(metrics.gauge("magnolia_forward_held_body_bytes", "Bytes reserved for large bodies of requests."))
        , bodiesDelayed(metrics.counter("magnolia_forward_bodies_delayed_total", "Large bodies that waited for memory before they were read."))
        , bodiesDenied(metrics.counter("magnolia_forward_bodies_denied_total", "Requests refused since there was no memory for their bodies."))
        , rests(metrics.counter("magnolia_forward_rests_total", "Times that an endpoint turned a request away and asked for rest."))
        , sentInRest(metrics.counter("magnolia_forward_sent_in_rest_total", "Requests sent to endpoints that had asked for rest until later."))
        , sentToLeaving(metrics.counter("magnolia_forward_sent_to_leaving_total", "Requests sent to endpoints that had stated that they leave."))
        , sentToEvacuated(metrics.counter("magnolia_forward_sent_to_evacuated_total", "Requests sent to endpoints of evacuated data centres."))
        , refusedEvacuated(metrics.counter("magnolia_forward_refused_evacuated_total", "Requests refused since all endpoints of their service are evacuated."))
        , evacuatedDataCentres(metrics.gauge("magnolia_forward_evacuated_data_centres", "Data centres whose endpoints get no requests."))
        , coldEndpoints(metrics.gauge("magnolia_forward_cold_endpoints", "Endpoints known to be cold."))
        , sentToCold(metrics.counter("magnolia_forward_sent_to_cold_total", "Requests sent to cold endpoints."))
        , withheldFromCold(metrics.counter("magnolia_forward_withheld_from_cold_total", "Times that a request found only cold endpoints without a turn."))
        , healthChecks(metrics.counter("magnolia_forward_health_checks_total", "Endpoints that were listed again asked for their health, each time."))
        , livenessChecks(metrics.counter("magnolia_forward_liveness_checks_total", "Silent endpoints asked for a sign of life, each time."))
        , silentEndpoints(metrics.gauge("magnolia_forward_silent_endpoints", "Endpoints that gave no sign of life when last asked."))
        , callers(metrics.gauge("magnolia_forward_caller_connections", "Open connections of callers."))
        , inProgress(metrics.gauge("magnolia_forward_in_progress", "Requests in progress."))
        , routesVersion(metrics.gauge("magnolia_forward_routes_version", "Version of the routes in force."))
        , firstByte(metrics.timing("magnolia_forward_first_byte_seconds", "From a request to the first byte of its answer."))
        , whole(metrics.timing("magnolia_forward_whole_seconds", "From a request to the end of its answer."))
    {
    }

    observe::Counter &requests;
    observe::Counter &attempts;
    observe::Counter &retries;
    observe::Counter &retriesDenied;
    observe::Gauge &instances;
    observe::Counter &answers;
    observe::Counter &refusals;
    observe::Counter &withoutSlot;
    observe::Counter &failures;
    observe::Counter &hangups;
    observe::Counter &resumed;
    observe::Counter &endpointCrashes;
    observe::Counter &quarantined;
    observe::Gauge &reportedRequests;
    observe::Counter &endlessAnswers;
    observe::Counter &unnamedAnswers;
    observe::Counter &skippedAnswers;
    observe::Gauge &heldAnswerBytes;
    observe::Gauge &unreadAnswerBytes;
    observe::Counter &unreadGivenUp;
    observe::Gauge &heldBodyBytes;
    observe::Counter &bodiesDelayed;
    observe::Counter &bodiesDenied;
    observe::Counter &rests;
    observe::Counter &sentInRest;
    observe::Counter &sentToLeaving;
    observe::Counter &sentToEvacuated;
    observe::Counter &refusedEvacuated;
    observe::Gauge &evacuatedDataCentres;
    observe::Gauge &coldEndpoints;
    observe::Counter &sentToCold;
    observe::Counter &withheldFromCold;
    observe::Counter &healthChecks;
    observe::Counter &livenessChecks;
    observe::Gauge &silentEndpoints;
    observe::Gauge &callers;
    observe::Gauge &inProgress;
    observe::Gauge &routesVersion;
    observe::Timing &firstByte;
    observe::Timing &whole;
};

} // namespace magnolia::forward

#endif
