#!/usr/bin/env python3
"""Says from the daemons' logs which jobs were late, failed or not accepted, when and why.

    losses.py LOG... [--worth QUEUE=ON_TIME,LATE]... [--window SECONDS]

Each line of a log ends with a JSON object as the daemons write it; what stands before it is ignored. A job's loss is what it
would have been worth in time less what it was worth as it ended: nothing if it failed or was never accepted, LATE if it took
up to three times its objective. --worth gives the values of a queue's jobs (default 1,0.2). The reason is the longest part of
the job's time beyond its work:
  store     it could not be accepted
  owner     it waited while there was no owner
  approval  it waited for answers of the policy service before its first start
  room      it waited otherwise before its first start
  repeated  its runs failed, broke or were stopped and started again
  steps     it waited between the start of its first and of its last task otherwise
  slow      its last tasks took longer than the objective leaves
"""
import argparse, collections, datetime, json

class Job:
    def __init__(self):
        self.queue, self.submits, self.calls, self.starts, self.ends, self.summary, self.cancelled = None, [], [], [], [], None, False

def read(paths):
    jobs, owners, pool = collections.defaultdict(Job), [], []
    for path in paths:
        for line in open(path, errors="replace"):
            at = line.find('{"level"')
            if at < 0:
                continue
            try:
                d = json.loads(line[at:])
            except ValueError:
                continue
            t = datetime.datetime.fromisoformat(d["ts"].replace("Z", "+00:00")).timestamp()
            apply(jobs, owners, pool, t, d)
    return jobs, sorted(owners), pool

def apply(jobs, owners, pool, t, d):
    kind = d["msg"]
    if kind in ("term begins", "term ends: stopping"):
        owners.append((t, kind == "term begins"))
    if kind == "pool":
        pool.append((t, d))
    if "job" not in d:
        return
    j = jobs[d["job"]]
    if kind == "submit":
        j.submits.append((t - d["took"] / 1000, d["status"]))
    elif kind == "advice":
        j.calls.append((t - d["took"] / 1000, t, d["asked"], d["approved"]))
    elif kind == "start":
        j.starts.append((t, d["task"]))
    elif kind == "run ended":
        j.ends.append((t, d["task"], d["outcome"]))
    elif kind == "job ended":
        j.summary = d
    elif kind == "job cancelled":
        j.cancelled = True
    j.queue = d.get("queue", j.queue)

def gaps(owners):
    """Returns the intervals from the last start under an owner until its successor's term begins."""
    return [(a, b) for (a, _), (b, began) in zip(owners, owners[1:]) if began]

def overlap(intervals, begin, end):
    return sum(max(min(b, end) - max(a, begin), 0) for a, b in intervals)

def union(intervals, end):
    total, reached = 0.0, 0.0
    for a, b in sorted(intervals):
        b = min(b, end)
        if b > max(a, reached):
            total += b - max(a, reached)
            reached = b
    return total

def reason(j, accepted, ownerless):
    if not j.starts:
        return "room"
    first, last = min(j.starts)[0], max(j.starts)[0]
    counts = collections.Counter(task for _, task in j.starts)
    waited = first - accepted
    owner = overlap(ownerless, accepted, first)
    approval = min(union([c[:2] for c in j.calls], first), waited - owner)
    repeated = any(n > 1 for n in counts.values())
    s = j.summary
    parts = {
        "owner": owner, "approval": approval, "room": waited - owner - approval,
        "repeated" if repeated else "steps": last - first,
        "slow": max(s["took"] / 1000 - (last - accepted) - s["objective"] / 1000 / 2, 0) if s else 0,
    }
    return max(parts, key=parts.get)

def quantile(values, q):
    return sorted(values)[int((len(values) - 1) * q)] if values else float("nan")

def main():
    p = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    p.add_argument("logs", nargs="+")
    p.add_argument("--worth", action="append", default=[])
    p.add_argument("--window", type=float, default=2.0)
    a = p.parse_args()
    worth = {q: tuple(map(float, w.split(","))) for q, w in (x.split("=") for x in a.worth)}
    jobs, owners, pool = read(a.logs)
    # The owner's last "pool" line bounds its term if it was lost without a word.
    ends = [max([t for t, _ in pool if t < b], default=b) for b, began in owners if began]
    ownerless = [(e, b) for e, b in zip(ends, [b for b, began in owners if began]) if e < b]
    lost = collections.defaultdict(float)
    by_window, waits, result = collections.defaultdict(collections.Counter), collections.defaultdict(list), collections.defaultdict(collections.Counter)
    begin = min(j.submits[0][0] for j in jobs.values() if j.submits)
    for j in jobs.values():
        if not j.submits or j.cancelled or not j.queue:
            continue
        on_time, late = worth.get(j.queue, (1.0, 0.2))
        asked = min(j.submits)[0]
        accepted = [t for t, status in j.submits if status == 200]
        s = j.summary
        if not accepted and not j.starts:
            outcome, why, loss = "not accepted", "store", on_time
        elif s is None or s["state"] != "completed":
            outcome, why, loss = s["state"] if s else "not ended", reason(j, asked, ownerless), on_time
        else:
            ratio = (s["took"] + max(min(accepted, default=asked) - asked, 0) * 1000) / max(s["objective"], 1)
            outcome = "in time" if ratio <= 1 else "late" if ratio <= 3 else "too late"
            why, loss = reason(j, asked, ownerless), {"in time": 0, "late": on_time - late, "too late": on_time}[outcome]
        if j.starts:
            waits[j.queue].append(min(j.starts)[0] - asked)
        result[j.queue][outcome] += 1
        if loss:
            lost[j.queue, why] += loss
            by_window[int((asked - begin) // a.window) * a.window][why] += loss
    for q in sorted(result):
        calls = [c for j in jobs.values() if j.queue == q for c in j.calls]
        print(f"{q}: {dict(result[q])}; wait p50 {quantile(waits[q], .5):.2f} p90 {quantile(waits[q], .9):.2f} p99 {quantile(waits[q], .99):.2f} s; "
              f"{len(calls)} calls for approval, {sum(c[3] for c in calls)} of {sum(c[2] for c in calls)} approved")
        for (queue, why), loss in sorted(lost.items(), key=lambda x: -x[1]):
            if queue == q:
                print(f"    {why:9} {loss:8.1f}")
    print(f"lost in all {sum(lost.values()):.1f}; by the second of the first attempt and reason:")
    for at in sorted(by_window):
        print(f"    {at:6.1f}  " + "  ".join(f"{why} {loss:.1f}" for why, loss in by_window[at].most_common()))

main()
