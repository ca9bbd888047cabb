"""What the outside world saw in one run, in milliseconds since its begin. The checks read nothing else."""
from dataclasses import asdict, dataclass, field


@dataclass
class Bounds:
    """Figures of the deployment, as in the settings file."""
    contact_ms: float = 4000
    drain_ms: float = 3000
    grace_ms: float = 6000
    loss_slack_ms: float = 200
    config_apply_ms: float = 3000
    ack_timeout_ms: float = 5000


@dataclass
class Run:
    """One time that a request was at a database."""
    database: str
    reached_at: float
    ended_at: float | None = None
    broken_off_by_database: bool = False
    text: str | None = None  # of a statement, as the database read it


@dataclass
class UnknownStatement:
    """A statement at a database under an id that no client used."""
    database: str
    at: float
    id: str
    text: str


@dataclass
class Request:
    """One request of a client, from its last byte to its answer or the end of its connection."""
    id: str
    client: str
    machine: str
    text: str
    sent_at: float
    timeout_ms: float
    repeatable: bool
    opens_transaction: bool = False  # the first statement of a transaction, or a single one
    writes: list = field(default_factory=list)  # ids of the writes that it asks to be kept
    ended_at: float | None = None
    outcome: str = "open"  # success, promise, unknown, error, cut, left (by its client)
    answer: str = ""
    wrong: str = ""  # what does not belong to this request in its answer
    behind_another: bool = False
    runs: list = field(default_factory=list)


@dataclass
class SessionEnd:
    """A connection that the system closed while nothing was asked."""
    client: str
    machine: str
    at: float
    state: str  # of the wire: I, T or E
    transaction_began_at: float | None = None


@dataclass
class Trouble:
    """Something that was done to the system or around it, from `at` to `until`."""
    kind: str
    target: str  # a machine, a database, or a service
    at: float
    until: float
    planned: bool
    core: bool = False


@dataclass
class Commit:
    service: str
    request: str
    writes: list
    at: float


@dataclass
class Promotion:
    service: str
    database: str
    holder: str
    token: int
    at: float
    kept: list  # the requests whose commits the promoted log has
    called_at: float | None = None  # when the platform received the call


@dataclass
class Draining:
    database: str
    acknowledged_at: float


@dataclass
class Change:
    """An order of the operator, and what became of it."""
    revision: int
    base: int
    valid: bool
    sent_at: float
    status: int = 0
    ended_at: float | None = None
    body: dict = field(default_factory=dict)


@dataclass
class Reading:
    """The configuration as a controller answered it."""
    at: float
    revision: int | None


@dataclass
class ProcessEnd:
    process: str
    at: float
    code: int
    expected: bool
    asked_at: float | None = None  # when it was sent SIGTERM
    outlived: bool = False  # it was killed since its grace period was over
    at_deadline: dict = field(default_factory=dict)  # what the kernel said of it then


@dataclass
class Stall:
    """A span in which this machine stood still, as a process of its own has measured it."""
    kind: str  # timer, write, sync
    since: float
    until: float
    processor: int | None = None  # of a late timer, as what follows
    waited_ms: float | None = None  # ready to run without running
    stolen_ms: float | None = None  # the host had taken the processor


@dataclass
class ResourceSample:
    process: str
    at: float
    descriptors: int
    memory_kb: int
    restarts_of_others: int


@dataclass
class History:
    bounds: Bounds = field(default_factory=Bounds)
    requests: dict = field(default_factory=dict)  # by id
    unknown_statements: list = field(default_factory=list)
    session_ends: list = field(default_factory=list)
    troubles: list = field(default_factory=list)
    commits: list = field(default_factory=list)
    promotions: list = field(default_factory=list)
    draining: list = field(default_factory=list)
    changes: list = field(default_factory=list)
    readings: list = field(default_factory=list)
    final_logs: dict = field(default_factory=dict)  # service -> requests in the log of its leader, at the end
    process_ends: list = field(default_factory=list)
    resources: list = field(default_factory=list)
    unfinished_steps: list = field(default_factory=list)  # of the plan
    busy_spans: list = field(default_factory=list)  # [from, until]: this process itself was late
    stalls: list = field(default_factory=list)
    ended_at: float = 0

    def as_dict(self):
        return asdict(self)
