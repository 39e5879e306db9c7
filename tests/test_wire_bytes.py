"""Bytes on the wire and in the ledger: two releases understand each other.

The bytes below were recorded once and are kept by hand. A case whose bytes
change needs a second release between the two forms.
"""

import cbor2
import msgspec
import pytest

from camphortray import active_config
from camphortray import antientropy
from camphortray import append_forwarder
from camphortray import claim_probe
from camphortray import config_gossip
from camphortray import engine
from camphortray import engine_registry
from camphortray import enginehealth
from camphortray import facts
from camphortray import failure_detector
from camphortray import gossip
from camphortray import grant_messages
from camphortray import hostlist
from camphortray import itemwork
from camphortray import jobmessages
from camphortray import limits
from camphortray import links
from camphortray import members
from camphortray import messages
from camphortray import orders
from camphortray import partition_records
from camphortray import ratelimits
from camphortray import routemap
from camphortray import slot_messages
from camphortray import slot_queue
from camphortray import snapshot
from camphortray import suspects

ENTRY = engine_registry.EngineEntry(
    "engine-1", "lm", "127.0.0.1:9000", "z1", 8, True, 3, 1700
)
PLAIN = engine_registry.EngineEntry("engine-2", "lm", "127.0.0.1:9001")
RECORDED = engine_registry.EngineEntry(
    "e-1", "s", "10.0.0.1:80", born=1700, sequence=3, offset=9
)
VERSIONED = engine_registry.EngineEntry(
    "engine-1", "lm", "127.0.0.1:9000", software="v1"
)
MEMBER = members.Member(
    "host-1/host", 2, members.Status.ALIVE, "z1", "127.0.0.1:1", ""
)
NEWCOMER = members.Member(
    "host-2/host",
    1,
    members.Status.LEAVING,
    "z2",
    "127.0.0.1:2",
    "127.0.0.1:3",
    7,
    1700,
    True,
)
FACT = facts.Fact("upstream-leaving", "engine-1", 1700, {"by": ["host-1"]})
LASTING = facts.Fact("poison-crash", "x", 1701, None, 300.0)
PASSED = config_gossip.PassedRecord(4, 1.5, b"r")
PART = snapshot.Part(3, "d", 0, 1, b"s")
WORK = grant_messages.Work(3, 1, 50)
WANT = grant_messages.Want(4, 2)
DONE = partition_records.State.DONE
ABANDONED = partition_records.State.ABANDONED
ITEM = partition_records.Item("a", "/v1/x", (("h", "v"),), b"{}", 12)
BARE_ITEM = partition_records.Item("b", "/v1/x", (), b"")
JOB = partition_records.JobPart(
    "job-1", "api", "/v1/jobs", 1700.5, 2, 0, (ITEM, BARE_ITEM)
)
OWNED_JOB = partition_records.JobPart(
    "job-1", "api", "/v1/jobs", 1700.5, 1, 0, (ITEM,), "home-1"
)
ROUTED_JOB = msgspec.structs.replace(
    OWNED_JOB, route=routemap.RouteId("r-1", "/v1/")
)
PROGRESS = itemwork.Progress(1, "e7", (b"x", b"y"))
REQUEST = slot_messages.WireRequest.of(
    slot_queue.SlotRequest("r1", "host-1", True, 1, 10.0), 12.0
)
LATER = slot_messages.WireRequest.of(
    slot_queue.SlotRequest(
        "r2",
        "host-1",
        False,
        0,
        10.0,
        1.0,
        30.0,
        90.0,
        4.0,
        "p",
        frozenset({"engine-2"}),
        "z1",
        1.5,
        0.25,
    ),
    12.0,
)
TAKEN_UP = slot_queue.SlotRequest(
    "r2.0", "host-1", True, 1, 10.0, stream="r1", version="v1"
)
LEASE = slot_messages.WireLease(REQUEST, "engine-1", 40)

# A message and its bytes in hexadecimal digits.
MESSAGES = (
    (
        active_config.ActiveConfigAsk(7),
        "8501716163746976655f636f6e6669672e61736b05f5a1687265766973696f6e07",
    ),
    (
        active_config.ActiveConfigAsk(7, 9),
        "8501716163746976655f636f6e6669672e61736b05f5a2687265766973696f6e"
        "0767656e67696e657309",
    ),
    (
        active_config.ActiveConfigAnswer(
            fresh=True, digest=9, sequences=(3, 4)
        ),
        "8501746163746976655f636f6e6669672e616e7377657205f5a3656672657368"
        "f566646967657374096973657175656e636573820304",
    ),
    (
        active_config.ActiveConfigAnswer(),
        "8501746163746976655f636f6e6669672e616e7377657205f5a0",
    ),
    (
        active_config.ActiveConfigAnswer("c/1", b"{}", (ENTRY, PLAIN), True),
        "8501746163746976655f636f6e6669672e616e7377657205f5a4636b65796363"
        "2f316d636f6e66696775726174696f6e427b7d67656e67696e657382a8626964"
        "68656e67696e652d316773657276696365626c6d67616464726573736e313237"
        "2e302e302e313a3930303071617661696c6162696c6974795f7a6f6e65627a31"
        "65736c6f74730868647261696e696e67f56873657175656e63650364626f726e"
        "1906a4a862696468656e67696e652d326773657276696365626c6d6761646472"
        "6573736e3132372e302e302e313a3930303171617661696c6162696c6974795f"
        "7a6f6e656065736c6f74730168647261696e696e67f46873657175656e636500"
        "64626f726e00656672657368f5",
    ),
    (
        antientropy.Sync(b"\x00\x01"),
        "85016473796e6305f5a1676275636b657473420001",
    ),
    (
        antientropy.SyncReply(),
        "85016a73796e632d7265706c7905f5a0",
    ),
    (
        antientropy.SyncReply((0, 31), (MEMBER,), (FACT,)),
        "85016a73796e632d7265706c7905f5a369646966666572696e678200181f6765"
        "6e747269657381aa646e616d656b686f73742d312f686f73746b696e6361726e"
        "6174696f6e026673746174757365616c69766571617661696c6162696c697479"
        "5f7a6f6e65627a316c706565725f616464726573736b3132372e302e302e313a"
        "316c687474705f6164647265737360687265766973696f6e0067737461727465"
        "6400646c656674f4686361706163697479fb0000000000000000656b6e6f776e"
        "81a5646b696e6470757073747265616d2d6c656176696e67636b657968656e67"
        "696e652d316776657273696f6e1906a46576616c7565a16262798166686f7374"
        "2d31666b6565705f73fb404e000000000000",
    ),
    (
        append_forwarder.LogAppend("jobs", b"\xff"),
        "85016a6c6f672d617070656e6405f5a26673747265616d646a6f627364646174"
        "6141ff",
    ),
    (
        append_forwarder.Appended(0),
        "85016c6c6f672d617070656e64656405f5a1666f666673657400",
    ),
    (
        claim_probe.CallProbe("k", 3),
        "85016b63616c6c732e70726f626505f5a2646e616d65616b6b696e6361726e61"
        "74696f6e03",
    ),
    (
        claim_probe.CallState(False),
        "85016b63616c6c732e737461746505f5a16772756e6e696e67f4",
    ),
    (
        config_gossip.PassedRecord(4, 1.5, b"r"),
        "8501667265636f726405f5a3666f6666736574046474696d65fb3ff800000000"
        "000064626f64794172",
    ),
    (
        config_gossip.RecordsAsk(9),
        "85016b7265636f7264732d61736b05f5a1666f666673657409",
    ),
    (
        config_gossip.RecordsAsk(9, 2),
        "85016b7265636f7264732d61736b05f5a2666f666673657409647061727402",
    ),
    (
        config_gossip.Records(),
        "8501677265636f72647305f5a0",
    ),
    (
        config_gossip.Records((PASSED,), PART),
        "8501677265636f72647305f5a2677265636f72647381a3666f66667365740464"
        "74696d65fb3ff800000000000064626f647941726470617274a566636f766572"
        "7303666469676573746164666e756d6265720065636f756e7401646461746141"
        "73",
    ),
    (
        failure_detector.Doubt("host-1/host", 5),
        "850165646f75627405f5a2646e616d656b686f73742d312f686f73746b696e63"
        "61726e6174696f6e05",
    ),
    (
        gossip.Ping(1, 2),
        "85016470696e6705f5a26b696e6361726e6174696f6e016664696765737402",
    ),
    (
        gossip.Ping(1, 2, 3, 4),
        "85016470696e6705f5a46b696e6361726e6174696f6e01666469676573740268"
        "7265766973696f6e03646865616404",
    ),
    (
        gossip.Pong(2),
        "850164706f6e6705f5a16664696765737402",
    ),
    (
        gossip.Pong(2, 3, 4, True, (MEMBER,)),
        "850164706f6e6705f5a56664696765737402687265766973696f6e0364686561"
        "640467756e6b6e6f776ef5646e65777381aa646e616d656b686f73742d312f68"
        "6f73746b696e6361726e6174696f6e026673746174757365616c697665716176"
        "61696c6162696c6974795f7a6f6e65627a316c706565725f616464726573736b"
        "3132372e302e302e313a316c687474705f616464726573736068726576697369"
        "6f6e00677374617274656400646c656674f4686361706163697479fb00000000"
        "00000000",
    ),
    (
        gossip.News(),
        "8501646e65777305f5a0",
    ),
    (
        gossip.News((MEMBER, NEWCOMER), (FACT, LASTING)),
        "8501646e65777305f5a267656e747269657382aa646e616d656b686f73742d31"
        "2f686f73746b696e6361726e6174696f6e026673746174757365616c69766571"
        "617661696c6162696c6974795f7a6f6e65627a316c706565725f616464726573"
        "736b3132372e302e302e313a316c687474705f61646472657373606872657669"
        "73696f6e00677374617274656400646c656674f4686361706163697479fb0000"
        "000000000000aa646e616d656b686f73742d322f686f73746b696e6361726e61"
        "74696f6e0166737461747573676c656176696e6771617661696c6162696c6974"
        "795f7a6f6e65627a326c706565725f616464726573736b3132372e302e302e31"
        "3a326c687474705f616464726573736b3132372e302e302e313a336872657669"
        "73696f6e0767737461727465641906a4646c656674f5686361706163697479fb"
        "0000000000000000656b6e6f776e82a5646b696e6470757073747265616d2d6c"
        "656176696e67636b657968656e67696e652d316776657273696f6e1906a46576"
        "616c7565a16262798166686f73742d31666b6565705f73fb404e000000000000"
        "a5646b696e646c706f69736f6e2d6372617368636b657961786776657273696f"
        "6e1906a56576616c7565f6666b6565705f73fb4072c00000000000",
    ),
    (
        grant_messages.OnlineWork({"engine-1": WORK}),
        "85016c736c6f74732e6f6e6c696e6505f5a165776f726b73a168656e67696e65"
        "2d318303011832",
    ),
    (
        grant_messages.Wants("127.0.0.1:1", {"engine-1": WANT}),
        "85016a736c6f74732e77616e7405f5a267616464726573736b3132372e302e30"
        "2e313a316577616e7473a168656e67696e652d31a26677616e74656404646865"
        "6c6402",
    ),
    (
        grant_messages.Grants({"engine-1": 4}, 250),
        "85016b736c6f74732e6772616e7405f5a265736c6f7473a168656e67696e652d"
        "310467686f6c645f6d7318fa",
    ),
    (
        grant_messages.Grants({"engine-1": 4}, 250, 5),
        "85016b736c6f74732e6772616e7405f5a365736c6f7473a168656e67696e652d"
        "310467686f6c645f6d7318fa67706163655f6d7305",
    ),
    (
        jobmessages.SubmitAsk(JOB),
        "85016a6a6f622e7375626d697405f5a1636a6f62a8636a6f62656a6f622d3169"
        "686f73745f6e616d656361706966746172676574682f76312f6a6f6273687461"
        "6b656e5f6174fb409a92000000000065746f74616c0265666972737400656974"
        "656d7382a5626964616166746172676574652f76312f78676865616465727381"
        "826168617664626f6479427b7d66746f6b656e730ca562696461626674617267"
        "6574652f76312f7867686561646572738064626f64794066746f6b656e730069"
        "776f726b737061636560",
    ),
    (
        jobmessages.SubmitAsk(OWNED_JOB),
        "85016a6a6f622e7375626d697405f5a1636a6f62a8636a6f62656a6f622d3169"
        "686f73745f6e616d656361706966746172676574682f76312f6a6f6273687461"
        "6b656e5f6174fb409a92000000000065746f74616c0165666972737400656974"
        "656d7381a5626964616166746172676574652f76312f78676865616465727381"
        "826168617664626f6479427b7d66746f6b656e730c69776f726b737061636566"
        "686f6d652d31",
    ),
    (
        jobmessages.SubmitAsk(ROUTED_JOB),
        "85016a6a6f622e7375626d697405f5a1636a6f62a9636a6f62656a6f622d3169"
        "686f73745f6e616d656361706966746172676574682f76312f6a6f6273687461"
        "6b656e5f6174fb409a92000000000065746f74616c0165666972737400656974"
        "656d7381a5626964616166746172676574652f76312f78676865616465727381"
        "826168617664626f6479427b7d66746f6b656e730c69776f726b737061636566"
        "686f6d652d3165726f757465a2646e616d6563722d3166707265666978642f76"
        "312f",
    ),
    (
        jobmessages.PageAsk("job-1", 0, 0.0),
        "8501686a6f622e7061676505f5a3636a6f62656a6f622d316561667465720066"
        "776169745f73fb0000000000000000",
    ),
    (
        jobmessages.PageAsk("job-1", 2, 1.5, "home-1"),
        "8501686a6f622e7061676505f5a4636a6f62656a6f622d316561667465720266"
        "776169745f73fb3ff800000000000069776f726b737061636566686f6d652d31",
    ),
    (
        jobmessages.BodyAsk("job-1", "a"),
        "8501686a6f622e626f647905f5a2636a6f62656a6f622d31646974656d6161",
    ),
    (
        jobmessages.BodyAsk("job-1", "a", ""),
        "8501686a6f622e626f647905f5a3636a6f62656a6f622d31646974656d616169"
        "776f726b737061636560",
    ),
    (
        jobmessages.EndAsk("job-1"),
        "8501676a6f622e656e6405f5a1636a6f62656a6f622d31",
    ),
    (
        jobmessages.EndAsk("job-1", "home-1"),
        "8501676a6f622e656e6405f5a2636a6f62656a6f622d3169776f726b73706163"
        "6566686f6d652d31",
    ),
    (
        jobmessages.Taken(),
        "8501696a6f622e74616b656e05f5a0",
    ),
    (
        jobmessages.PageReply(
            2, 1, (("a", DONE, b"x"), ("b", ABANDONED, b""))
        ),
        "85016e6a6f622e706167652d7265706c7905f5a365746f74616c026561667465"
        "720167726573756c74738283616164646f6e654178836162696162616e646f6e"
        "656440",
    ),
    (
        jobmessages.BodyReply(b""),
        "85016e6a6f622e626f64792d7265706c7905f5a164626f647940",
    ),
    (
        jobmessages.JobRefusal(503, "late", "Too late."),
        "85016b6a6f622e7265667573616c05f5a3667374617475731901f764636f6465"
        "646c617465676d65737361676569546f6f206c6174652e",
    ),
    (
        jobmessages.JobRefusal(503, "late", "Too late.", "maybe", 2.0),
        "85016b6a6f622e7265667573616c05f5a5667374617475731901f764636f6465"
        "646c617465676d65737361676569546f6f206c6174652e6372616e656d617962"
        "656b72657472795f6166746572fb4000000000000000",
    ),
    (
        jobmessages.ProgressUpdate(3, "job-1", (PROGRESS,)),
        "85016c6a6f622e70726f677265737305f5a3647061727403636a6f62656a6f62"
        "2d31656974656d7381a365706c61636501646c61737462653764746578748241"
        "784179",
    ),
    (
        jobmessages.BacklogReport(
            (
                jobmessages.PartitionBacklog(3, 7, {"route-1": 20}),
                jobmessages.PartitionBacklog(4, 8, {}),
            )
        ),
        "85016b6a6f622e6261636b6c6f6705f5a164726f777382a36470617274036565"
        "706f63680766636f756e7473a167726f7574652d3114a3647061727404656570"
        "6f63680866636f756e7473a0",
    ),
    (
        jobmessages.QuotaAsk("route-1", "job-1", 10, 20),
        "8501696a6f622e71756f746105f5a465726f75746567726f7574652d31636a6f"
        "62656a6f622d3166746f6b656e730a656c696d697414",
    ),
    (
        jobmessages.BacklogReport(
            (jobmessages.PartitionBacklog(3, 7, {"route-1": 20}, 9),)
        ),
        "85016b6a6f622e6261636b6c6f6705f5a164726f777381a46470617274036565"
        "706f63680766636f756e7473a167726f7574652d311468616e73776572656409",
    ),
    (
        jobmessages.QuotaAsk("route-1", "job-1", 10, 20, 3, 7, 9),
        "8501696a6f622e71756f746105f5a765726f75746567726f7574652d31636a6f"
        "62656a6f622d3166746f6b656e730a656c696d6974146470617274036565706f"
        "636807666e756d62657209",
    ),
    (
        jobmessages.QuotaGranted(
            jobmessages.QuotaAsk("route-1", "job-1", 10, 20, 3, 7, 9)
        ),
        "8501716a6f622e71756f74612d6772616e74656405f5a16361736ba765726f75"
        "746567726f7574652d31636a6f62656a6f622d3166746f6b656e730a656c696d"
        "6974146470617274036565706f636807666e756d62657209",
    ),
    (
        jobmessages.QuotaReply(True),
        "85016f6a6f622e71756f74612d7265706c7905f5a1676772616e746564f5",
    ),
    (
        links.Ack(),
        "85016361636b05f5a0",
    ),
    (
        links.Probe(),
        "85016570726f626505f5a0",
    ),
    (
        links.PeerFault("broken"),
        "8501656661756c7405f5a1676d6573736167656662726f6b656e",
    ),
    (
        ratelimits.Demands({"s/w": 1.0}),
        "85016d6c696d6974732e64656d616e6405f5a16764656d616e6473a163732f77"
        "fb3ff0000000000000",
    ),
    (
        ratelimits.Shares({"s/w": limits.Share(0.5, 2.0)}),
        "85016c6c696d6974732e736861726505f5a166736861726573a163732f77a264"
        "72617465fb3fe0000000000000677365636f6e6473fb4000000000000000",
    ),
    (
        slot_messages.SlotAsk("lm", "127.0.0.1:1", (REQUEST, LATER)),
        "850169706c6163652e61736b05f5a36773657276696365626c6d676164647265"
        "73736b3132372e302e302e313a316577616e7473828d627231f5011907d01903"
        "e8197530fbbff00000000000000060806000008d627232f4001907d01903e819"
        "7530fb4053800000000000190fa061708168656e67696e652d32627a311905dc"
        "18fa",
    ),
    (
        slot_messages.SlotAsk.of("lm", "127.0.0.1:1", TAKEN_UP, 12.0),
        "850169706c6163652e61736b05f5a56773657276696365626c6d676164647265"
        "73736b3132372e302e302e313a316577616e7473818d6472322e30f5011907d0"
        "1903e8197530fbbff00000000000000060806000006876657273696f6e738182"
        "6472322e306276316773747265616d7381627231",
    ),
    (
        slot_messages.StreamAsk("lm", 7, 9000),
        "85016a73747265616d2e61736b05f5a36773657276696365626c6d6664696765"
        "737407676b6565705f6d73192328",
    ),
    (
        slot_messages.StreamAnswer("v1", True, ("v1", "v2")),
        "85016d73747265616d2e616e7377657205f5a36776657273696f6e627631656b"
        "6e6f776ef56876657273696f6e7382627631627632",
    ),
    (
        slot_messages.StreamAnswer(),
        "85016d73747265616d2e616e7377657205f5a0",
    ),
    (
        slot_messages.StreamAnswer(lived=True, earlier=("v1",)),
        "85016d73747265616d2e616e7377657205f5a2656c69766564f5676561726c"
        "69657281627631",
    ),
    (
        slot_messages.StreamAnswer("v1", True, lived=True, holder="h2/host"),
        "85016d73747265616d2e616e7377657205f5a46776657273696f6e627631656b"
        "6e6f776ef5656c69766564f566686f6c6465726768322f686f7374",
    ),
    (
        slot_messages.StreamUpdate(
            "s",
            ("v1", "v2"),
            ((7, 0, 9000), (8, 1, 500)),
            ("h1/host", "h2/host"),
            (1, 0),
        ),
        "85016d73747265616d2e75706461746505f5a567736572766963656173687665"
        "7273696f6e73826276316276326773747265616d738283070019232883080119"
        "01f467686f6c64657273826768312f686f73746768322f686f73746768656c64"
        "5f6279820100",
    ),
    (
        slot_messages.StreamUpdate(
            "lm", ("v1", "v2"), ((7, 0, 9000), (2**63, 1, 50))
        ),
        "85016d73747265616d2e75706461746505f5a36773657276696365626c6d6876"
        "657273696f6e73826276316276326773747265616d7382830700192328831b80"
        "00000000000000011832",
    ),
    (
        active_config.ActiveConfigAnswer(engines=(VERSIONED,)),
        "8501746163746976655f636f6e6669672e616e7377657205f5a167656e67696e"
        "657381a962696468656e67696e652d316773657276696365626c6d6761646472"
        "6573736e3132372e302e302e313a3930303071617661696c6162696c6974795f"
        "7a6f6e656065736c6f74730168647261696e696e67f46873657175656e636500"
        "64626f726e0068736f667477617265627631",
    ),
    (
        active_config.ActiveConfigAnswer(engines=(RECORDED,)),
        "8501746163746976655f636f6e6669672e616e7377657205f5a167656e67696e"
        "657381a962696463652d316773657276696365617367616464726573736b3130"
        "2e302e302e313a383071617661696c6162696c6974795f7a6f6e656065736c6f"
        "74730168647261696e696e67f46873657175656e63650364626f726e1906a466"
        "6f666673657409",
    ),
    (
        slot_messages.LeaseEnd("lm", "r1", enginehealth.Outcome.GOOD),
        "850169706c6163652e656e6405f5a36773657276696365626c6d626964627231"
        "676f7574636f6d6564676f6f64",
    ),
    (
        slot_messages.LimitUpdate(
            "lm", 900, (slot_messages.WireChange("w", 7, 250, True),)
        ),
        "85016c706c6163652e6c696d69747305f5a36773657276696365626c6d687369"
        "6e63655f6d73190384676368616e676573818461770718faf5",
    ),
    (
        slot_messages.LeaseReport("lm", "127.0.0.1:1", (LEASE,), (REQUEST,)),
        "85016c706c6163652e7265706f727405f5a46773657276696365626c6d676164"
        "64726573736b3132372e302e302e313a31666c656173657381838d627231f501"
        "1907d01903e8197530fbbff000000000000000608060000068656e67696e652d"
        "3118286577616e7473818d627231f5011907d01903e8197530fbbff000000000"
        "0000006080600000",
    ),
    (
        slot_messages.SlotDecisions("lm"),
        "85016a706c6163652e776f726405f5a36773657276696365626c6d676772616e"
        "746564a06772656675736564a0",
    ),
    (
        slot_messages.SlotDecisions("lm", {"r1": "e"}, {"r2": 0.5}, ("r3",)),
        "85016a706c6163652e776f726405f5a46773657276696365626c6d676772616e"
        "746564a162723161656772656675736564a1627232fb3fe00000000000006772"
        "65766f6b656481627233",
    ),
    (
        suspects.ApartAsk("engine-1", "host-1", 2.5),
        "85016961706172742e61736b05f5a368757073747265616d68656e67696e652d"
        "3166686f6c64657266686f73742d31677365636f6e6473fb4004000000000000",
    ),
    (
        suspects.ApartAnswer(True),
        "85016c61706172742e616e7377657205f5a1676772616e746564f5",
    ),
    (
        suspects.ApartDone("engine-1", "host-1"),
        "85016a61706172742e646f6e6505f5a268757073747265616d68656e67696e65"
        "2d3166686f6c64657266686f73742d31",
    ),
)
RESULT = partition_records.Result(0, DONE, b"x")
CUT = partition_records.Result(1, ABANDONED, pieces=2)
# Records of the ledger: what makes them, key and value of each.
RECORDS = (
    (
        partition_records.accept_records(JOB, 900),
        (
            (
                "j/job-1/0",
                "88a36a6f62a56a6f622d31a9686f73745f6e616d65a3617069a674617267"
                "6574a82f76312f6a6f6273a874616b656e5f6174cb409a920000000000a5"
                "746f74616c02a5666972737400a56974656d739285a26964a161a6746172"
                "676574a52f76312f78a7686561646572739192a168a176a4626f6479c402"
                "7b7da6746f6b656e730c85a26964a162a6746172676574a52f76312f78a7"
                "6865616465727390a4626f6479c400a6746f6b656e7300a9776f726b7370"
                "616365a0",
            ),
        ),
    ),
    (
        partition_records.accept_records(JOB, 600),
        (
            (
                "j/job-1/0",
                "88a36a6f62a56a6f622d31a9686f73745f6e616d65a3617069a674617267"
                "6574a82f76312f6a6f6273a874616b656e5f6174cb409a920000000000a5"
                "746f74616c02a5666972737400a56974656d739185a26964a161a6746172"
                "676574a52f76312f78a7686561646572739192a168a176a4626f6479c402"
                "7b7da6746f6b656e730ca9776f726b7370616365a0",
            ),
            (
                "j/job-1/1",
                "88a36a6f62a56a6f622d31a9686f73745f6e616d65a3617069a674617267"
                "6574a82f76312f6a6f6273a874616b656e5f6174cb409a920000000000a5"
                "746f74616c02a5666972737401a56974656d739185a26964a162a6746172"
                "676574a52f76312f78a76865616465727390a4626f6479c400a6746f6b65"
                "6e7300a9776f726b7370616365a0",
            ),
        ),
    ),
    (
        partition_records.accept_records(OWNED_JOB, 900),
        (
            (
                "j/job-1/0",
                "88a36a6f62a56a6f622d31a9686f73745f6e616d65a3617069a674617267"
                "6574a82f76312f6a6f6273a874616b656e5f6174cb409a920000000000a5"
                "746f74616c01a5666972737400a56974656d739185a26964a161a6746172"
                "676574a52f76312f78a7686561646572739192a168a176a4626f6479c402"
                "7b7da6746f6b656e730ca9776f726b7370616365a6686f6d652d31",
            ),
        ),
    ),
    (
        partition_records.accept_records(ROUTED_JOB, 900),
        (
            (
                "j/job-1/0",
                "89a36a6f62a56a6f622d31a9686f73745f6e616d65a3617069a674617267"
                "6574a82f76312f6a6f6273a874616b656e5f6174cb409a920000000000a5"
                "746f74616c01a5666972737400a56974656d739185a26964a161a6746172"
                "676574a52f76312f78a7686561646572739192a168a176a4626f6479c402"
                "7b7da6746f6b656e730ca9776f726b7370616365a6686f6d652d31a5726f"
                "75746582a46e616d65a3722d31a6707265666978a42f76312f",
            ),
        ),
    ),
    (
        [partition_records.result_record("job-1", 7, (RESULT, CUT))],
        (
            (
                "r/job-1/000007",
                "9284a46974656d00a57374617465a4646f6e65a474657874c40178a67069"
                "656365730084a46974656d01a57374617465a96162616e646f6e6564a474"
                "657874c400a670696563657302",
            ),
        ),
    ),
    (
        [partition_records.end_record("job-1")],
        (
            (
                "e/job-1",
                "31",
            ),
        ),
    ),
)
# What is sent or stored as JSON.
TEXTS = (
    (
        engine.Order("load", "lm", "1"),
        b'{"action":"load","model":"lm","version":"1","adapter":"","role":"",'
        b'"fencing":0}',
    ),
    (
        engine.Order("role", role="prefill", fencing=4),
        b'{"action":"role","model":"","version":"","adapter":"","role":"prefi'
        b'll","fencing":4}',
    ),
    (
        engine.OrderAnswer(True),
        b'{"accepted":true,"reason":""}',
    ),
    (
        engine.EngineState((("lm", "1"),), adapters=(("lm", "a"),)),
        b'{"models":[["lm","1"]],"loading":[],"adapters":[["lm","a"]],"role":'
        b'"mixed","draining":false,"incarnation":0}',
    ),
    (
        engine.LoadReport(1, 2, 0.5),
        b'{"running":1,"waiting":2,"kv_used":0.5,"age_s":0.0}',
    ),
    (
        engine.CacheEvents(2, (engine.CacheEvent(1, "p", True),)),
        b'{"next":2,"events":[{"sequence":1,"prefix":"p","stored":true}]}',
    ),
    (
        hostlist.ListedHost("host-1", "host", "live", "127.0.0.1:1"),
        b'{"name":"host-1","kind":"host","status":"live","peer_address":"127.'
        b'0.0.1:1"}',
    ),
    (
        hostlist.RollEntry("127.0.0.1:1", 1700),
        b'{"peer_address":"127.0.0.1:1","started":1700}',
    ),
)

# A snapshot of the last orders.
ORDERS = (
    "a166706c6163656482a366696e74656e74a46773657276696365617368757073"
    "747265616d68656e67696e652d31656f72646572a666616374696f6e646c6f61"
    "64656d6f64656c626c6d6776657273696f6e613167616461707465726064726f"
    "6c65606766656e63696e6700626174fb409a9200000000006565706f63680466"
    "616e73776572a46773657276696365617368757073747265616d68656e67696e"
    "652d31686163636570746564f466726561736f6e6462757379a366696e74656e"
    "74a46773657276696365617368757073747265616d68656e67696e652d32656f"
    "72646572a666616374696f6e64726f6c65656d6f64656c606776657273696f6e"
    "6067616461707465726064726f6c656770726566696c6c6766656e63696e6704"
    "626174fb00000000000000006565706f63680566616e73776572f6"
)


def test_every_kind_of_message_has_a_case():
    """A new kind whose bytes nobody wrote down."""
    kinds = {messages.NAMES[type(message)] for message, _ in MESSAGES}
    assert kinds == set(messages.KINDS)


@pytest.mark.parametrize("message,digits", MESSAGES, ids=repr)
def test_a_message_has_the_bytes_that_other_releases_know(message, digits):
    """Hosts of two releases that refuse or misread each other's messages."""
    envelope = messages.Envelope(5, True, message)
    assert messages.encode(envelope).hex() == digits
    assert messages.decode(bytes.fromhex(digits)) == envelope


@pytest.mark.parametrize("message,digits", MESSAGES, ids=repr)
def test_a_field_of_a_later_release_is_ignored(message, digits):
    """A later release's message that an earlier one refuses."""
    whole = cbor2.loads(bytes.fromhex(digits))
    whole[-1]["of_a_later_release"] = 1
    assert messages.decode(cbor2.dumps(whole)).message == message


@pytest.mark.parametrize("made,stored", RECORDS)
def test_a_record_has_the_bytes_that_are_stored(made, stored):
    """A partition that its next owner, of another release, cannot read."""
    assert [(r.key, r.value.hex()) for r in made] == list(stored)


def test_stored_parts_and_results_are_read_back():
    """As above, for what is already stored."""
    (_, part), (_, split), (_, owned), (_, routed), (_, results), _ = [
        (key, bytes.fromhex(digits))
        for _, stored in RECORDS
        for key, digits in stored[-1:]
    ]
    assert partition_records.PARTS.decode(part) == JOB
    assert partition_records.PARTS.decode(split).items == (BARE_ITEM,)
    assert partition_records.PARTS.decode(owned) == OWNED_JOB
    assert partition_records.PARTS.decode(routed) == ROUTED_JOB
    assert partition_records.RESULTS.decode(results) == (RESULT, CUT)


@pytest.mark.parametrize("value,text", TEXTS, ids=repr)
def test_json_stays_as_it_is(value, text):
    """An engine or host that cannot read what this release sends."""
    assert msgspec.json.encode(value) == text
    assert msgspec.json.decode(text, type=type(value)) == value


def test_a_snapshot_of_orders_has_the_bytes_that_are_stored():
    """An owner that gives an order again, as it cannot read the snapshot."""
    first = engine.Order("load", "lm", "1")
    second = engine.Order("role", role="prefill", fencing=4)
    refused = orders.OrderAnswered("s", "engine-1", False, "busy")
    placed = (
        orders.Placed(
            orders.OrderIntent("s", "engine-1", first, 1700.5), 4, refused
        ),
        orders.Placed(orders.OrderIntent("s", "engine-2", second), 5),
    )
    fold = orders.OrdersFold()
    fold.placed = {(p.intent.service, p.intent.upstream): p for p in placed}
    assert cbor2.dumps(fold.dump()).hex() == ORDERS
    read = orders.OrdersFold()
    read.load(cbor2.loads(bytes.fromhex(ORDERS)))
    assert read.placed == fold.placed
