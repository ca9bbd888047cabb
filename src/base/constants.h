// Every constant of the system, with its unit and the reason for its value.
#pragma once
#include <cstddef>
#include <cstdint>

namespace pebblespindle::constants {

// --- wire ---------------------------------------------------------------
constexpr std::size_t kMaxMessageBytes = 1 << 20;  // bytes; the wire's own bound on a message
constexpr std::size_t kMaxLinkBytes =
    8 << 20;  // bytes; a message on an inner link: a change of a whole configuration, escaped
constexpr std::size_t kMaxPeerQueueBytes = 16 << 20;  // bytes; two of the longest messages wait for a core
                                                      // that reads nothing; then the link starts anew
constexpr std::size_t kStatePieceBytes =
    65536;  // bytes; a state goes between cores in pieces of this: beats and updates pass in between
constexpr std::size_t kMaxHttpBodyBytes = 2 << 20;  // bytes; four times the largest configuration seen
constexpr std::size_t kPieceBytes = 12288;  // bytes; 50 ms of a link of 2 Mbit/s: leases pass in between
constexpr std::size_t kPiecesAhead = 2;  // pieces on their way to a node; the link does not idle between two
constexpr std::size_t kMaxHttpHeaderBytes = 16384;  // bytes; ordinary header bound for control calls
constexpr std::size_t kReadChunkBytes = 16384;  // bytes; one shared read buffer per process, not per socket
constexpr std::size_t kBackpressureBytes =
    262144;                                // bytes queued to a slow reader before its peer is not read
constexpr std::size_t kBacklogLines = 64;  // lines a client may send ahead before it is not read

// --- core: view and chain -------------------------------------------------
constexpr std::int64_t kCoreBeatMs = 250;     // ms; cores in step within a few beats, few bytes between zones
constexpr std::int64_t kCoreSilentMs = 1000;  // ms; four missed beats: suspect a core, still inside ContactMs
constexpr std::int64_t kGiveUpMs =
    2500;  // ms; a voter silent this long gives its vote to a newcomer, if there is one: inside ContactMs
constexpr std::int64_t kViewLeaseMs =
    950;  // ms; ends as a silent core is suspected, so that the wait for its end costs nothing
constexpr std::int64_t kGrowWaitMs =
    4000;  // ms; the first configuration waits this long for all voters: inside the operator's patience
constexpr std::uint64_t kBallotStep = 16;  // ballots; more than there are voters, so that no two share one
constexpr std::size_t kTakenKept =
    4096;  // changes on record; hours at 41,000 a day, a minute if each only waits for the one before it:
           // longer than anyone repeats an order. An older one is not refused but left unclear. It is the
           // size of the ring on the disk: another size needs another key
constexpr std::size_t kTermsKept =
    64;  // terms of heads; more changes of the head than this behind, a core takes a whole state
constexpr std::int64_t kStateAskMs =
    100;  // ms; a core without the view's state asks for it again: some round trips
constexpr std::int64_t kStandbyAskMs =
    1000;  // ms; a core outside the chain keeps up with it: few bytes, a second behind
constexpr std::int64_t kTrimAfterMs = 600000;  // ms; what is gone is kept this long: no call of a database
                                               // lives longer, nor does a node's break
constexpr std::int64_t kTrimStepMs = 60000;    // ms; how often what is gone is looked through
constexpr std::size_t kEventsKept = 60;        // sentences a core keeps for status: some minutes of trouble
constexpr std::int64_t kDiskRetryMs = 300;     // ms; pause between tries of a disk that refused a write
constexpr std::int64_t kDriftMarginMs = 50;    // ms; clock drift and late timers over the longest lease
constexpr std::int64_t kProposalRetryMs =
    300;  // ms; a few round trips and syncs between zones, then a new ballot
constexpr std::int64_t kJoinStableMs =
    600;  // ms; a returning core is heard for two beats before it is let in
constexpr std::uint64_t kMaxNumber =
    1ull << 62;  // changes, views, ballots; no count comes near it, and sums of two do not run over
constexpr std::int64_t kHandOverMs =
    3000;  // ms; a core that ends waits this long for its successor: half of the usual grace period
constexpr std::int64_t kSubmitRetryMs = 300;   // ms; an update unanswered this long is offered again
constexpr std::int64_t kSubmitGiveUpMs = 900;  // ms; callers count a second of silence as a failure

// --- leases of nodes ------------------------------------------------------
constexpr std::int64_t kNodeLeaseMs =
    1000;  // ms; three missed renewals; bounds a failover's wait for a dead node
constexpr std::int64_t kNodeRenewMs = 300;   // ms; three tries within a lease
constexpr std::int64_t kCoreSearchMs = 700;  // ms; an agent leaves a core that is silent this long
constexpr std::int64_t kCoreAnswerMs =
    200;  // ms; a renewal unanswered this long: other cores are asked while the lease still runs
constexpr std::int64_t kCoreAskStepMs = 50;  // ms; many round trips: then the next core is asked as well
constexpr std::int64_t kCoreDialMs =
    250;  // ms; a core that just starts drops the opening packet: dial anew, don't wait for seconds
constexpr std::int64_t kReconnectMs = 100;  // ms; pause between tries to reach a core or agent

// --- the failover duty ----------------------------------------------------
constexpr std::int64_t kDutyGuardMs = 250;  // ms; the holder stops this long before its lease ends
constexpr std::int64_t kInfoTimeoutMs =
    400;  // ms; many round trips: silence here is one vote that it is dark
constexpr std::int64_t kPlatformTimeoutMs =
    1000;                                       // ms; the platform may be slow; then ask the database itself
constexpr std::int64_t kPromoteCheckMs = 1500;  // ms; without a beat of the new primary, ask it by INFO
constexpr std::int64_t kPromoteRetryMs = 250;   // ms; pause before another call after 409, 429 or silence
constexpr std::int64_t kSwitchRetryMs = 400;    // ms; pause before an unfinished switch is taken up again
constexpr std::size_t kFewNodes = 4;  // nodes that missed one answer each; fewer may all have met a bad link
constexpr std::int64_t kSuspectQuietMs = 1500;   // ms; an answered INFO clears suspicion for this long
constexpr std::int64_t kSuspectWindowMs = 3000;  // ms; reports older than this no longer count
constexpr std::int64_t kDepartedMs =
    10000;  // ms; one that has told of its end is asked until it is found gone, this long at most
constexpr std::int64_t kUnaskedMs =
    3000;  // ms; found gone this soon after it left, its log unknown: a crashed primary is back in that time
constexpr std::int64_t kLateStatementMs =
    2500;  // ms; a statement that was given up has arrived by then, or never; inside the rest of an idle line
constexpr int kEndedRefusals = 2;  // refusals in a row: ended; a single one may be a connection's reset
constexpr int kBlindTries =
    3;  // tries to learn where a leaving primary stands; then the replicas alone count

// --- pooler ------------------------------------------------------------------
constexpr std::int64_t kFreshMarginMs = 40;      // ms; subtracted from stale_ms for the way to the database
constexpr std::int64_t kObservationStepMs = 20;  // ms; one kept position per step bounds the ring's memory
constexpr std::int64_t kObservationKeepMs = 10000;  // ms; no route allows older positions than this
constexpr std::int64_t kFirstFeedMs =
    1000;  // ms; sessions wait this long for a pooler that just started; clients wait two seconds for IDLE
constexpr std::int64_t kUnleasedReadyMs =
    300;  // ms; a node whose lease ended this long ago asks for no new clients: others may serve them
constexpr std::int64_t kCutOffMs =
    2500;  // ms; a primary that others go to, unreachable from here this long: clients are sent elsewhere
constexpr std::int64_t kServerConnectMs =
    1000;  // ms; a new connection answers within tens of ms when healthy
constexpr std::int64_t kLimitPauseMs =
    25;  // ms; after CONNLIMIT: other nodes hand connections back within a few answers
constexpr double kScarceShare = 2.0;       // connections a node; below this not every node can keep its own
constexpr std::size_t kScarceMost = 3;     // connections a node opens to one database where they are scarce
constexpr std::int64_t kShedStepMs = 250;  // ms; how often unused connections are looked through
constexpr std::int64_t kTightMs =
    60000;  // ms; a database that turned a connection away is spared this long: one refusal a minute tells
constexpr double kKeptShare =
    0.8;  // of the places at a tight database: what nodes keep; the rest is for the others
constexpr std::int64_t kTrialFirstMs = 50;     // ms; a closed-off database is first tried again after this
constexpr std::int64_t kTrialMostMs = 1600;    // ms; trials are spaced at most this far: one connection each
constexpr std::int64_t kLaggingAvoidMs = 60;   // ms; a replica that answered LAGGING gets time to apply
constexpr std::int64_t kDrainGuardMs = 1000;   // ms; stop this long before DrainMs runs out
constexpr std::int64_t kSwitchDrainMs = 250;   // ms; running work may end at a primary that hands over
constexpr std::int64_t kIdleShedMs = 20000;    // ms; pooled connections unused this long are closed
constexpr std::int64_t kHedgeFloorMs = 60;     // ms; no read is given up sooner than this
constexpr std::int64_t kHedgeUnknownMs = 250;  // ms; the same before any latency has been learned
constexpr double kHedgeFactor = 1.5;           // times the longest answer of late before one is missed
constexpr double kWorstDecay = 0.995;  // per answer; a slow spell is forgotten after some hundred answers
constexpr std::int64_t kUnreadyNoticeMs = 2500;  // ms; the platform asks each second and needs two misses
constexpr int kConnReservePerDatabase = 4;       // connections left for the core's own calls and for joiners
constexpr int kMaxSessions = 3500;               // sessions a pooler accepts; below its descriptor limit
constexpr std::size_t kMaxSessionValues = 256;   // values or prepared names one session may hold
constexpr std::int64_t kMostTold = std::int64_t(1)
                                   << 52;    // ms or rights; beyond what any clock or sum of a core comes to
constexpr std::size_t kMaxMembers = 100000;  // nodes; more than a fleet has: a figure that cannot be is cut
constexpr std::size_t kMaxSessionBytes =
    1 << 20;  // bytes; values and prepared shapes of one session: what one message could bring
constexpr std::size_t kMaxAnswerBytes = 8 << 20;  // bytes; rows of one answer, held until it has ended whole
constexpr std::size_t kMaxShapes = 20000;  // prepared shapes a node keeps names for; then new names are drawn
constexpr std::size_t kMaxPreparedPerConn = 200;  // prepared shapes on one server connection before RESET
constexpr std::int64_t kSoundMs =
    15;  // ms; a round trip to a core, several times over; then the primary is asked
constexpr std::int64_t kSeldomMs =
    2000;                          // ms; a database not heard for this long before is asked seldom here
constexpr int kSilentReports = 2;  // unanswered requests in a row before a database is reported

// --- databases that are hard to read ----------------------------------------
constexpr std::int64_t kSightMs = 2000;  // ms; a window of what a node met: hundreds of requests, few bytes
constexpr std::int64_t kSightLastsMs = 5000;  // ms; two windows and the way
constexpr int kSightLeast = 8;                // requests; fewer say nothing of a window
constexpr std::int64_t kSightBad = 6;         // failures of a zone's nodes; fewer are met on any day
constexpr std::int64_t kSightSure = 40;  // requests of a zone's nodes; enough that a share tells something
constexpr std::int64_t kMostInWindow =
    10'000'000;                               // requests or ms; more than a window can hold: not a report
constexpr double kTroubleLearn = 0.15;        // weight of one request; the last dozen count
constexpr double kTroubleMost = 0.35;         // share failing of late; beyond it reads go to its peers first
constexpr std::int64_t kAvoidFirstMs = 1000;  // ms; then it is tried again
constexpr std::size_t kAvoidNodes =
    3;  // nodes of a zone that each met a failure; reads may go elsewhere on less than what is worth a line
constexpr std::int64_t kAvoidToldMs =
    2500;  // ms; until the zone's next window has told whether it fails still
constexpr std::int64_t kAvoidMostMs = 8000;  // ms; the longest pause of one that comes and goes

// --- a slow primary ---------------------------------------------------------
constexpr std::int64_t kPaceWindowMs = 500;   // ms; some ten answers a node at ordinary rates
constexpr int kPaceLeastAnswers = 5;          // answers; fewer say nothing of a window
constexpr double kPaceSlowFactor = 2.7;       // times the usual median; half of the nodes must agree on it
constexpr double kPaceSlowMs = 15.0;          // ms; and at least this much longer
constexpr double kPaceBusyFactor = 1.3;       // times the usual answers: then it is busy, not slow
constexpr double kPaceLearn = 0.2;            // weight of a window; the usual is some three seconds long
constexpr std::int64_t kSlowReportMs = 1200;  // ms; a report counts this long: two windows and the way
constexpr std::int64_t kSlowLastsMs = 700;    // ms; half of the nodes agree this long: more than one stall
constexpr std::int64_t kHandoverPauseMs = 15000;  // ms; a service's lead moves for slowness no more often
constexpr double kLatencyAvoidFactor = 2.5;       // times the best database's time before reads go elsewhere
constexpr double kLatencyAvoidMs = 20.0;          // ms; and at least this much longer
constexpr double kLatencyLearn = 0.1;             // weight of one answer
constexpr std::int64_t kLatencyForgetMs = 2000;   // ms; a database not asked for this long is tried again

// --- sidecar ----------------------------------------------------------------
constexpr std::size_t kMaxFrameBytes = 16 << 20;  // bytes; a request or answer between two sidecars, whole
constexpr std::size_t kMaxCallBytes = 8 << 20;  // bytes; a body held whole: a few fit into a sidecar's memory
constexpr std::size_t kMaxAnswerHeadBytes =
    65536;                      // bytes; a database's answer has a few fields, never as many as this
constexpr int kFrameDepth = 4;  // levels; a frame holds lists of fields and nothing deeper
constexpr std::int64_t kMostWaitMs =
    3'600'000;  // ms; no client waits an hour: what a peer's frame says beyond it is a fault
constexpr double kBudgetShare =
    0.75;  // of the fleet's budget: the rest is for windows that slide unlike ours
constexpr std::int64_t kBudgetSlotMs = 100;  // ms; a hundredth of a window: its edge is sharp enough
constexpr std::int64_t kPeerDialMs = 400;    // ms; many round trips; then another database is tried
constexpr std::int64_t kPeerSilentMs =
    1500;                                   // ms; unacknowledged bytes on a link between sidecars: it is dead
constexpr std::int64_t kAwayFirstMs = 100;  // ms; a sidecar that could not be reached is left alone this long
constexpr std::int64_t kAwayMostMs = 1600;  // ms; at most: one try of one request
constexpr std::int64_t kBusyMs = 60;    // ms; word of a full database counts this long: a third of its work
constexpr double kLoadHalfMs = 300.0;   // ms; half of what was told of a load has passed after this
constexpr double kLoadUsual = 0.45;     // of the slots; what a database is thought to run without word
constexpr double kAwayZoneCost = 0.35;  // of the slots; a database in another zone is chosen beyond this
constexpr int kBusyTries = 4;           // full databases met before a request waits at one of them
constexpr std::size_t kLooked = 4;      // databases compared in a zone; more would send all to the same
constexpr double kIllCost = 6.0;        // of the slots; what a database that always fails costs more
constexpr std::int64_t kRankMs = 60;    // ms; a rank below another counts as an aim that ends this much later
constexpr std::int64_t kRanks = 100;    // ranks; more than any configuration has
constexpr double kWaitShare = 0.7;      // of the aim; a request that has not begun to run by then is refused
constexpr std::int64_t kHedgeLeastMs = 40;  // ms; no second database is asked sooner
constexpr double kHedgeSpread = 4.0;        // mean deviations over the mean answer before one is missed
constexpr double kHedgeAimShare = 0.6;  // of the aim; before any answer is known, one is missed after this
constexpr double kAnswerLearn = 0.05;   // weight of one answer in mean and deviation
constexpr std::int64_t kDeadlineWayMs = 4;  // ms; taken off for the way back from the database
constexpr double kIllLearn = 0.1;           // weight of one result; the last twenty count
constexpr std::int64_t kDownTrialMs = 250;  // ms; a database that is down is tried again
constexpr int kDownSilent = 3;              // requests in a row without an answer: it is down
constexpr int kDownFailed =
    6;  // failures in a row: one that fails two of five is seldom taken for one that is down
constexpr std::int64_t kAppConnectMs =
    500;                            // ms; on this machine; the database counts this as part of its slots
constexpr double kIdleShare = 0.7;  // of the idle time at which a connection was found dead: others are used
                                    // up to this
constexpr std::int64_t kIdleUnknownMs =
    20000;                                 // ms; a connection is kept unused before the database has told
constexpr std::int64_t kIdleLeastMs = 50;  // ms; a younger one is trusted whatever was met
constexpr std::int64_t kAgainMs = 80;  // ms; a refused client comes back after about half a request's work
constexpr std::int64_t kBeatAnswerMs = 900;  // ms; callers count a second of silence as a failure

// --- counting ---------------------------------------------------------------
constexpr std::int64_t kQuotaSyncMs = 1000;   // ms; how often cores tell each other what they hold
constexpr std::int64_t kQuotaAskMs = 50;      // ms; many round trips: then it is asked again
constexpr std::int64_t kQuotaStepMost = 200;  // ms; one that stood still longer credits no more than this
constexpr double kQuotaPile = 0.6;  // of the burst: what may pile up at the cores; the rest is with the nodes
constexpr double kQuotaLeast = 3;  // operations; a core's share of the smallest allowance is worth asking for
constexpr double kQuotaThreshold = 0.1;       // of a core's share: below it another core is asked
constexpr std::int64_t kRightsLastMs = 1500;  // ms; what a node holds and does not use lapses
constexpr double kRightsAheadS = 0.3;         // s; of its own use that a node asks for at once

}  // namespace pebblespindle::constants
