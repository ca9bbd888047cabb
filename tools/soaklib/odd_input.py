"""Input that is invalid whatever the state of the system is: it is refused, and ends no process."""

NESTING = 300000
DEEP_LIST = "[" * NESTING + "]" * NESTING
DEEP_OBJECT = '{"a":' * NESTING + "1" + "}" * NESTING

# (method, body) of changes of the configuration
ODD_ORDERS = [
    ("PATCH", '{"Revision":3,"Remove":{"Limits":["IdleTimeoutMs"]}}'),
    ("PATCH", '{"Revision":3,"Remove":{"Revision":["x"]}}'),
    ("PATCH", '{"Revision":3,"Upsert":{"Revision":[{"Name":"x"}]}}'),
    ("PATCH", '{"Revision":3,"Upsert":{"Limits":{"IdleTimeoutMs":"soon"}}}'),
    ("PATCH", '{"Revision":3,"Upsert":{"Routes":[{"Name":7}]}}'),
    ("PATCH", '{"Revision":3,"Upsert":{"Routes":[{"Name":"r"}]}}'),
    ("PATCH", '{"Revision":3,"Upsert":{"Services":[[]]}}'),
    ("PATCH", '{"Revision":-3}'),
    ("PATCH", '{"Revision":"3"}'),
    ("PATCH", "{}"),
    ("PATCH", "[]"),
    ("PATCH", "null"),
    ("PATCH", ""),
    ("PATCH", '{"Revision":3'),
    ("PATCH", '{"Revision":3,"Upsert":{"Notes":' + DEEP_LIST + "}}"),
    ("PATCH", '{"Revision":3,"Upsert":{"Notes":[{"Name":"n","Deep":' + DEEP_LIST + "}]}}"),
    ("PATCH", '{"Revision":3,"Upsert":' + DEEP_OBJECT + "}"),
    ("PUT", DEEP_LIST),
    ("PUT", DEEP_OBJECT),
    ("PUT", '{"Revision":3,"Routes":[],"Services":[],"Notes":' + DEEP_LIST + "}"),
    ("PUT", '{"Revision":3,"Routes":{},"Services":[]}'),
    ("PUT", '{"Revision":3,"Routes":[],"Services":[{"Name":"s"},{"Name":"s"}]}'),
    ("PUT", '{"Revision":1e400,"Routes":[],"Services":[]}'),
    ("PUT", '{"Revision":99999999999999999999999,"Routes":[],"Services":[]}'),
]
