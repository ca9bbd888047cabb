#!/usr/bin/env python3
"""Prints a day of trouble (TOML) for one deployment, dense in what has gone wrong with systems of this kind.

    tools/worst_day.py SITE.toml --seed 7 [--point cut,orders] [--stretch 2] [--density 1.5] [--closing timed] > day.toml

A day is a string of scenes drawn from the points asked for. A scene is some seconds long and holds a few entries whose
times matter to each other: a replaced core, and a wiped one before the new one has caught up. The site file is read for the
kinds its list of troubles allows, its length, its times and how many cores may be lost; entries of other kinds are left out, so
the same seed gives a shorter day where fewer are allowed. Equal arguments give an equal day.
"""
import argparse
import random
import tomllib

PLANNED = {"config_change", "config_storm", "config_race", "hup", "release", "revoke", "roll_term", "scale_in", "seed_turnover"}
CLOSINGS = ("power_off_all", "kill_all", "wipe_after_ack")
CUT_S = 20.0
STORM = 400


class Site:
    """What a site file says that a day may use."""

    def __init__(self, path):
        with open(path, "rb") as file:
            site = tomllib.load(file)
        self.kinds = {trouble["kind"] for trouble in site["troubles"]}
        self.length_s = site["length_s"]
        self.losses = site["tolerate"]["machines"]
        self.catch_up_s = site["timing"]["catch_up_s"]
        self.has_primaries = "sql" in site["contracts"]
        self.recovers = "recover" in site["contracts"]
        self.is_mesh = site["entry"]["kind"] == "local"


class Scene:
    """Entries by their distance from the scene's start, and the time after which the next scene may begin."""

    def __init__(self, site, draw):
        self.site, self.draw, self.entries, self.span_s = site, draw, [], 0.0

    def may(self, *kinds):
        return all(kind in self.site.kinds for kind in kinds)

    def first(self, *kinds):
        """One of the kinds that the site allows, by lot; None if it allows none."""
        allowed = [kind for kind in kinds if kind in self.site.kinds]
        return self.draw.choice(allowed) if allowed else None

    def add(self, after_s, kind, **fields):
        if kind in self.site.kinds:
            self.entries.append((after_s, kind, fields))
            self.span_s = max(self.span_s, after_s + fields.get("for_s", 1.0))

    def change(self, after_s):
        self.add(after_s, "config_change", how=self.draw.choice(["timeout", "idle"]))

    def lose_core(self, after_s, kind, **fields):
        """A core goes in the way of `kind`, with the fields that kind takes."""
        down_s = round(self.draw.uniform(1.0, 4.0), 2)
        if kind == "node_kill":
            how = self.draw.choice(["", "leader", "seed", "reader", "power", "leader meet", "leader race", "meet hard"])
            fields = {"on": "core", "count": 1, "for_s": down_s, "how": how} | fields
        elif kind == "after_ack_kill":
            fields = {"for_s": down_s, "how": self.draw.choice(["", "kill", "timed"])} | fields
        elif kind == "after_ack_wipe":
            fields = {"for_s": down_s, "how": self.draw.choice(["", "timed"])} | fields
        elif kind == "replace_core":
            how = self.draw.choice(["", "leader", "planned", "planned leader"])
            fields = {"x": round(self.draw.uniform(0.5, 3.0), 2), "how": how} | fields
        elif kind == "roll_term":
            fields = {"on": "core", "share": 1.0, "x": 1.0, "gap_s": round(self.draw.uniform(1.0, 3.0), 2)} | fields
        self.add(after_s, kind, **fields)

    def leave(self, after_s):
        """Databases leave, the primary among them where there is one."""
        if self.site.has_primaries:
            self.add(after_s, "release", how="primary")
        else:
            kind = self.first("release", "scale_in")
            if kind == "release":
                self.add(after_s, kind, share=round(self.draw.uniform(0.2, 0.5), 2), x=5.0, gap_s=1.0)
            elif kind:
                self.add(after_s, kind, share=round(self.draw.uniform(0.05, 0.15), 2))


def long_cut(scene):
    """A core is away for twenty seconds, and orders meet it during the cut and at its return; databases leave meanwhile."""
    draw = scene.draw
    whom = draw.choice(["", "leader", "leader", "seed", "reader"])
    way = draw.choice(["", "", "reset", "refuse", "one_way", "seeds", "both"])
    orders = draw.choice(["meet", "race", "hard", "meet race", "race hard", "meet race hard", "meet drain"])
    count = draw.randint(1, scene.site.losses)
    scene.add(0.0, "core_cut", count=count, for_s=CUT_S, how=" ".join(word for word in (whom, way, orders) if word))
    for _ in range(draw.randint(2, 5)):
        scene.change(round(draw.uniform(0.1, CUT_S + 1.0), 2))
    scene.leave(round(draw.uniform(1.0, CUT_S - 4.0), 2))
    if draw.random() < 0.4:
        scene.add(round(draw.uniform(1.0, CUT_S), 2), "config_race", count=draw.randint(2, 6), gap_s=0.4)


def cut_edges(scene):
    """Machines that carry the traffic lose sight of all cores for twenty seconds while the configuration moves on."""
    scene.add(0.0, "node_cut", share=round(scene.draw.uniform(0.1, 0.3), 2), for_s=CUT_S)
    scene.add(0.5, "primary_cut", share=0.4, for_s=CUT_S / 2, how=scene.draw.choice(["", "replicas", "core", "one_way"]))
    for after_s in (2.0, 9.0, CUT_S + 0.2):
        scene.change(after_s)


def races(scene):
    """Pairs of changes on one version while the operator's connections are reset and answers are lost."""
    draw = scene.draw
    gap_s = round(draw.uniform(0.2, 1.2), 2)
    count = draw.randint(6, 14)
    scene.add(0.0, "config_race", count=count, gap_s=gap_s)
    for step in range(3):
        scene.add(round(0.1 + step * count * gap_s / 3, 2), "reset_conns", on="core", share=1.0, x=round(draw.uniform(0.5, 1.0), 2))
    scene.add(0.5, "answer_lost", share=0.5, x=0.05, for_s=round(count * gap_s, 2))
    kind = scene.first("node_kill", "after_ack_kill", "after_ack_wipe", "core_cut")
    if kind == "core_cut":
        scene.add(1.0, kind, count=1, for_s=4.0, how=draw.choice(["leader race", "leader race hard", "leader reset race"]))
    elif kind:
        scene.lose_core(1.0, kind, **({"how": draw.choice(["leader race", "leader race drain"])} if kind == "node_kill" else {}))


def lost_after_order(scene):
    """The core that acknowledged an order is lost with it, twice."""
    for after_s in (0.0, round(scene.site.catch_up_s * scene.draw.uniform(0.8, 1.6), 2)):
        kind = scene.first("after_ack_kill", "after_ack_wipe", "node_kill")
        if kind:
            scene.lose_core(after_s, kind)
        scene.change(after_s + 0.6)


def second_loss(scene):
    """A core is replaced or wiped, and the next is lost before (or just after) the first one's successor has caught up."""
    draw, catch_up_s = scene.draw, scene.site.catch_up_s
    kind = scene.first("replace_core", "after_ack_wipe")
    if kind:
        scene.lose_core(0.0, kind)
    kind = scene.first("after_ack_wipe", "after_ack_kill", "node_kill", "replace_core")
    if kind:
        scene.lose_core(round(catch_up_s * draw.uniform(0.3, 1.3), 2), kind)
    scene.change(round(draw.uniform(0.0, catch_up_s), 2))
    if draw.random() < 0.5:
        scene.lose_core(round(catch_up_s * 2 + draw.uniform(0.0, 2.0), 2), "node_kill")


def loss_at_view(scene):
    """A core goes dark, and another in the moments in which the rest agree to go on without the first (after a second or so)."""
    draw = scene.draw
    first = draw.choice(["node_kill", "core_cut", "node_kill"])
    if first == "core_cut" and scene.may(first):
        scene.add(0.0, first, count=1, for_s=5.0, how=draw.choice(["", "leader", "reset", "leader one_way"]))
    else:
        scene.lose_core(0.0, "node_kill", for_s=5.0, how=draw.choice(["power", "leader power", "seed power"]))
    scene.lose_core(round(draw.uniform(0.85, 1.7), 2), "node_kill", for_s=4.0, how=draw.choice(["power", "leader power", ""]))
    scene.change(round(draw.uniform(0.5, 2.0), 2))
    scene.change(4.0)


def leavers(scene):
    """Databases leave, and cores roll, while a core is down or cut off."""
    draw = scene.draw
    kind = scene.first("core_cut", "node_kill")
    if kind == "core_cut":
        scene.add(0.0, kind, count=1, for_s=6.0, how=draw.choice(["leader", "leader reset", "one_way", "refuse", "leader meet drain"]))
    elif kind:
        scene.lose_core(0.0, kind)
    scene.leave(round(draw.uniform(0.1, 3.0), 2))
    scene.leave(round(draw.uniform(3.0, 6.0), 2))
    scene.add(1.0, "replica_lag", x=60.0, for_s=5.0, count=1, how=draw.choice(["", "deaf"]))
    scene.lose_core(7.0, "roll_term")


def storm(scene):
    """Hundreds of changes, with cores killed, emptied, replaced and rolled among them."""
    draw = scene.draw
    gap_s = round(draw.uniform(0.06, 0.15), 3)
    if scene.may("config_storm"):
        scene.add(0.0, "config_storm", count=STORM, gap_s=gap_s)
    elif scene.may("config_race"):
        scene.add(0.0, "config_race", count=STORM // 2, gap_s=gap_s * 2)
    else:
        for step in range(STORM // 2):
            scene.change(round(step * gap_s * 2, 2))
    storm_s = STORM * gap_s
    at_s = 2.0
    while at_s < storm_s + 3.0:
        kind = scene.first("node_kill", "after_ack_wipe", "after_ack_kill", "replace_core", "roll_term")
        if kind:
            scene.lose_core(round(at_s, 2), kind)
        at_s += scene.site.catch_up_s * draw.uniform(0.7, 2.0) + 2.0
    scene.span_s = max(scene.span_s, storm_s)


def silences(scene):
    """Calls end without an answer: lost ones, silent and broken databases, connections reset and forgotten, killed senders."""
    draw = scene.draw
    for_s = round(draw.uniform(4.0, 7.0), 2)
    if scene.site.is_mesh:
        scene.add(0.0, "answer_lost", how=draw.choice(["", "reset"]), share=0.5, x=0.05, for_s=for_s)
        scene.add(0.3, "garble", how=draw.choice(["", "extra", "extra late"]), share=0.6, x=0.04, for_s=for_s)
    else:
        scene.add(0.0, "answer_lost", share=0.5, x=0.1, for_s=for_s)
    kind = scene.first("srv_grey", "srv_crash", "srv_flap", "idle_race", "srv_lying_health")
    if kind == "srv_grey":
        scene.add(1.0, kind, share=0.15, x=0.4, for_s=for_s, how=draw.choice(["errors", "shed", "hang", "reset", "mute"]))
    elif kind == "srv_crash":
        scene.add(1.0, kind, for_s=for_s, how="dark primary" if scene.site.has_primaries else "dark")
    elif kind == "srv_flap":
        scene.add(1.0, kind, share=0.1, gap_s=1.4, for_s=for_s)
    elif kind == "idle_race":
        scene.add(1.0, kind, share=0.5, x=300.0, for_s=for_s)
    elif kind:
        scene.add(1.0, kind, share=0.1, for_s=for_s, how=draw.choice(["errors", "hang", "reset", "bad"]))
    scene.add(1.5, "reset_conns", share=0.4, x=0.5)
    scene.add(2.5, "node_kill", share=0.15, for_s=2.0, how=draw.choice(["", "power"]))
    scene.add(3.5, "roll_term", share=0.4, x=2.0, gap_s=1.0, how=draw.choice(["", "busy"]))
    scene.change(2.0)


def herds(scene):
    """All counted machines are killed, or lose power, in the middle of the day; a change follows at once."""
    how = scene.draw.choice(["", "power"] + ["taken"] * scene.site.has_primaries)
    scene.add(0.0, "herd_kill", on="core", share=1.0, for_s=round(scene.draw.uniform(0.5, 2.0), 2), how=how)
    scene.change(0.1)
    scene.change(scene.site.catch_up_s)


POINTS = {
    "cut": (long_cut, long_cut, cut_edges),
    "orders": (races, races, lost_after_order, herds),
    "losses": (second_loss, second_loss, leavers, herds),
    "changes": (storm,),
    "calls": (silences,),
    "views": (loss_at_view,),
}


def closing(site, draw, how):
    """The fault that ends the day: its kind, and when it strikes (`how`: a word, 'any', or 'none')."""
    if how == "none" or not site.recovers:
        return None
    if how == "any":
        how = draw.choice(["", "timed"] + ["taken"] * site.has_primaries)
    fault = {"kind": draw.choice(CLOSINGS), "down_s": round(draw.uniform(0.5, 2.0), 2)}
    return fault | ({"how": how} if how else {})


def compose(site, draw, points, length_s, density):
    """Scenes of the points by lot until the day is full; at a higher density they overlap."""
    scenes = [scene for point in points for scene in POINTS[point]]
    entries, at_s, calm_s = [], 1.2, length_s - site.catch_up_s
    while at_s < calm_s - 6.0:
        scene = Scene(site, draw)
        draw.choice(scenes)(scene)
        entries += [(round(at_s + after_s, 2), kind, fields) for after_s, kind, fields in scene.entries if at_s + after_s < calm_s]
        at_s += max(2.0, (scene.span_s + site.catch_up_s) / density)
    entries.append((round(calm_s + 0.5, 2), "config_change", {"how": "timeout"}))
    return sorted(entries, key=lambda entry: entry[0])


def literal(value):
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {literal(part)}" for key, part in value.items()) + " }"
    return repr(value)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", help="the deployment's site file")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--point", default="all", help=f"some of {','.join(POINTS)} (all)")
    parser.add_argument("--stretch", type=float, default=2.0, help="how many ordinary days long (2)")
    parser.add_argument("--density", type=float, default=1.5, help="1: scenes follow each other; more: they overlap (1.5)")
    parser.add_argument("--closing", default="any", choices=["any", "none", "timed", "taken", ""], help="how the day ends (any)")
    asked = parser.parse_args()
    points = list(POINTS) if asked.point == "all" else asked.point.split(",")
    if unknown := set(points) - set(POINTS):
        parser.error(f"no such point: {', '.join(sorted(unknown))}")
    site = Site(asked.site)
    draw = random.Random(f"{asked.seed} {asked.point} {asked.stretch} {asked.density}")
    length_s = round(site.length_s * asked.stretch, 1)
    entries = compose(site, draw, points, length_s, asked.density)
    end = closing(site, draw, asked.closing)
    print(f'name = "worst-{asked.point.replace(",", "-")}-{asked.seed}"')
    print(f"seed = {asked.seed}\nlength_s = {length_s}")
    if end:
        print(f"closing = {literal(end)}")
    for section, planned in (("plan", True), ("faults", False)):
        print(f"{section} = [")
        for at_s, kind, fields in entries:
            if (kind in PLANNED) == planned:
                print(f"  {literal({'at': at_s, 'kind': kind} | fields)},")
        print("]")


if __name__ == "__main__":
    main()
