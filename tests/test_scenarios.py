"""Scenarios of a node among stand-ins on real sockets, in the scenario language of scenario.py."""

import pytest
import scenario

from reelusher.core import current_classes

SCENARIOS = {
    # The platform's protocol
    "a request is run and its result returned unchanged": """
        c1 send 7 slot-search body=hello
        runtime expect start * slot-search hello as X
        runtime send end $X ok the-result
        c1 expect 7 ok the-result
        node expect count answers.served 1""",
    "answers are sent in the order in which runs end": """
        c1 send 1 slot-search body=a
        runtime expect start * slot-search a as A
        c1 send 2 slot-search body=b
        runtime expect start * slot-search b as B
        runtime send end $B ok rb
        c1 expect 2 ok rb
        runtime send end $A ok ra
        c1 expect 1 ok ra""",
    "a failed run is answered by Error, not by Full": """
        c1 send 1 slot-search
        runtime expect start * as X
        runtime send end $X failed
        c1 expect 1 Error""",
    "a start that the runtime did not carry out is answered by Full": """
        c1 send 1 slot-search
        runtime expect start * as X
        runtime send nack $X start
        c1 expect 1 Full""",
    "a request past its deadline is rejected and not run": """
        c1 send 1 day-view age=2000
        c1 expect 1 Full
        runtime expect nothing""",
    "a run that does not end is failed before its due time, also without gauges": """
        runtime send gauges off
        c1 send 1 day-view
        runtime expect start *
        c1 expect 1 Error
        node expect count answers.by_guard 0""",
    "overload: a request that can't be started in time is rejected with a retry delay": """
        with busy=1
        c1 send 1 slot-search
        runtime expect start * as X
        c1 send 2 slot-search
        runtime expect start *
        c1 send 3 day-view
        c1 expect 3 Full
        runtime send end $X ok r
        c1 expect 1 ok r""",
    "health is answered before the runtime is ready": """
        runtime send ready off
        runtime close
        runtime expect closed
        runtime expect sync 0
        c1 send 1 health
        c1 expect 1 ok True""",
    "an idle connection receives lastCall, one with an open request does not": """
        c1 send 1 slot-search
        c2 send 1 health
        c2 expect 1 ok True
        runtime expect start * as X
        node send idle 100000
        c2 expect lastCall
        c1 expect nothing
        runtime send end $X ok r
        c1 expect 1 ok r
        c1 expect lastCall
        c1 expect closed""",
    "a caller that closes after sending does not affect other callers": """
        c1 send 1 slot-search
        runtime expect start * as X
        c1 close
        runtime send end $X ok r
        c2 send 1 slot-search
        runtime expect start * as Y
        runtime send end $Y ok r
        c2 expect 1 ok r""",
    # Bad input
    "a malformed frame closes only its own connection": """
        c1 send raw c1
        c1 expect closed
        node expect count platform.malformed 1
        c2 send 1 health
        c2 expect 1 ok True""",
    "an oversized length closes the connection as soon as it is read": """
        c1 send raw 94000aa3616263dbffffffff
        c1 expect closed
        node expect count platform.malformed 1""",
    "an unknown class, an invalid field and a long body are answered by Bad": """
        c1 send 1 no-such-class
        c1 expect 1 Bad
        c1 send 2 slot-search cpu=much
        c1 expect 2 Bad why=cpu
        c1 send 3 book-visit
        c1 expect 3 Bad why=unique
        c1 send 4 slot-search body=2049*x
        c1 expect 4 Bad
        c1 send 6 slot-search standing=1.5
        c1 expect 6 Bad why=standing
        node expect count requests.bad 5
        c1 send 5 slot-search body=2048*x
        runtime expect start * as X
        runtime send end $X ok 4096*y
        c1 expect 5 ok""",
    "a second request with a run id that is in use fails": """
        c1 send 1 slot-search txn=aa
        runtime expect start aa
        c1 send 2 slot-search txn=aa
        c1 expect 2 Error
        runtime send end aa ok r
        c1 expect 1 ok r""",
    "message ids that are negative or no numbers close the connection": """
        c1 send raw 9400c3a66865616c74689180
        c1 expect closed
        c2 send raw 9400ffa66865616c74689180
        c2 expect closed
        node expect count platform.malformed 2""",
    "an arrival time far from the node's clock is an error": """
        c1 send 1 slot-search age=-3600000
        c1 expect 1 Bad why=door
        c1 send 2 book-visit key=K age=3600000
        c1 expect 2 Bad why=door
        runtime expect nothing""",
    "after too many invalid requests on a connection no request of it is run": """
        c1 send 1 slot-search
        runtime expect start * as X
        """
    + "".join(
        f"""
        c1 send {number} no-such-class
        c1 expect {number} Bad"""
        for number in range(2, 10)
    )
    + """
        c1 send 10 slot-search
        c1 expect 10 Full
        runtime expect nothing
        runtime send end $X ok r
        c1 expect 1 ok r
        c1 expect closed""",
    "caller numbers have no upper limit": """
        c1 send 1 slot-search lb=70001
        runtime expect start * as X
        runtime send end $X ok r
        c1 expect 1 ok r""",
    "too many open requests on a connection are errors, and close it": "with busy=1"
    + "".join(
        f"""
        c1 send {number} slot-search"""
        for number in range(1, 70)
    )
    + """
        node expect count platform.closed_bad 1""",
    "a connection that sends nothing, or half a request, is closed within three seconds": """
        c1 send raw 94
        c2 send raw
        wait 2.6
        c1 expect lastCall
        c1 expect closed
        c2 expect lastCall
        c2 expect closed""",
    "half a request closes its connection after the open requests of it are answered": """
        c1 send 1 slot-search
        runtime expect start * as X
        c1 send raw 94
        wait 2.6
        runtime send end $X ok r
        c1 expect 1 ok r
        c1 expect closed
        node expect count platform.closed_partial 1""",
    "at the limit the connection that is idle longest is closed for a new one, and those in use stay": """
        with sockets=270             # 40 for callers, after the reserve and the half for AJP
        c50 send 1 slot-search
        runtime expect start * as X
        """
    + "".join(
        f"""
        c{number} send 1 health"""
        for number in range(1, 40)
    )
    + """
        wait 0.3
        c99 send 1 slot-search
        runtime expect start * as Y
        runtime send end $Y ok r
        c99 expect 1 ok r
        c1 expect 1 ok True
        c1 expect lastCall
        c1 expect closed
        runtime send end $X ok r
        c50 expect 1 ok r""",
    # Idempotency keys
    "a known key with another body is an error: it is neither run nor served the stored result": """
        c1 send 1 book-visit key=K body=mine
        runtime expect start * book-visit mine as X
        c2 send 1 book-visit key=K body=other
        c2 expect 1 Error
        runtime send end $X ok slot-9
        c1 expect 1 ok slot-9
        c2 send 2 book-visit key=K body=other
        c2 expect 2 Error
        a1 send POST /visits host=plain key=K body=other
        runtime expect nothing
        c3 send 1 book-visit key=K body=mine
        c3 expect 1 ok slot-9
        node expect count requests.key_taken 3""",
    "a retry waits for the run and is served its result": """
        c1 send 1 book-visit key=K body=b
        runtime expect start * book-visit b as X
        c2 send 1 book-visit key=K body=b
        runtime expect nothing
        runtime send end $X ok slot-9
        c1 expect 1 ok slot-9
        c2 expect 1 ok slot-9
        c3 send 1 book-visit key=K body=b
        c3 expect 1 ok slot-9
        runtime expect nothing
        node expect count runs.started 1""",
    "attempts that are read together are run once": """
        c1 send 1 book-visit key=K
        c1 send 2 book-visit key=K
        c1 send 3 book-visit key=K
        runtime expect start * as X
        runtime expect nothing
        runtime send end $X ok r
        c1 expect 1 ok r
        c1 expect 2 ok r
        c1 expect 3 ok r""",
    "a retry of a failed run fails: it is neither run nor rejected": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        runtime send end $X failed
        c1 expect 1 Error
        c1 send 2 book-visit key=K
        c1 expect 2 Error
        runtime expect nothing""",
    "a result is stored for retries even if the first caller has closed": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        c1 close
        runtime send end $X ok r
        node expect count runs.ok 1
        c2 send 1 book-visit key=K
        c2 expect 1 ok r""",
    "an attempt that never ran does not occupy its key": """
        c1 send 1 book-visit key=K age=9000
        c1 expect 1 Full
        c1 send 2 book-visit key=K
        runtime expect start * as X
        runtime send end $X ok r
        c1 expect 2 ok r""",
    # The link to the runtime
    "after a broken link: sync with the last serial, lost commands are resent, replayed notices ignored": """
        runtime send gauges off
        c1 send 1 slot-search body=a
        runtime expect start * as X
        runtime close
        runtime expect closed
        runtime expect sync 0
        runtime expect start $X slot-search a
        runtime send end $X ok r
        c1 expect 1 ok r
        runtime send again
        node expect count runtime.replayed 1
        runtime close
        runtime expect closed
        runtime expect sync 1
        runtime expect nothing""",
    "no command is sent before the runtime is ready": """
        runtime send ready off
        runtime close
        runtime expect closed
        runtime expect sync 0
        c1 send 1 slot-search
        runtime expect nothing
        runtime send raw {"msg":"ready","how":"cold","duration":1}
        runtime expect start * as X
        runtime send end $X ok r
        c1 expect 1 ok r""",
    "a runtime that has restarted has lost its runs": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        wait 0.1
        runtime send raw {"msg":"ready","how":"cold","duration":-6000}
        c1 expect 1 Error
        c1 send 2 book-visit key=K
        c1 expect 2 Error""",
    "a malformed notice closes the link, which is opened again": """
        runtime send raw nonsense
        runtime expect closed
        runtime expect sync 0
        node expect count runtime.malformed 1""",
    # The vault, the downstream service
    "a call is made and its reply is delivered to the run": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        runtime send wants $X ask-this
        vault expect ask $X ask-this
        vault send $X yes the-reply
        runtime expect give $X the-reply
        runtime send end $X ok r
        c1 expect 1 ok r""",
    "a rejected call is repeated if the class can't skip it": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        runtime send wants $X q
        vault expect ask $X q
        vault send $X notnow
        vault expect ask $X q
        vault send $X yes a
        runtime expect give $X a""",
    "a call whose connection breaks may have run, so it is not repeated": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        runtime send wants $X q
        vault expect ask $X q
        vault close
        vault expect closed
        c1 expect 1 Error
        vault expect nothing""",
    "a failed call is skipped if the class allows it": """
        c1 send 1 slot-search
        runtime expect start * as X
        runtime send wants $X q
        vault expect ask $X q
        vault send $X failed
        runtime expect omit $X
        runtime send end $X ok poorer
        c1 expect 1 ok poorer""",
    "a call to an unreachable vault is skipped if the class allows it": """
        vault close listener
        c1 send 1 slot-search
        runtime expect start * as X
        runtime send wants $X q
        runtime expect omit $X
        node expect count calls.unreachable 1""",
    "a malformed reply closes its connection, and the next call opens another": """
        c1 send 1 slot-search
        runtime expect start * as X
        runtime send wants $X q
        vault expect ask $X q
        vault send $X what
        vault expect closed
        runtime expect omit $X
        runtime send wants $X q2
        vault expect ask $X q2""",
    "a malformed reply fails its own call, not the others in progress": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        runtime send wants $X q
        vault expect ask $X q
        c1 send 2 book-visit key=L
        runtime expect start * as Y
        runtime send wants $Y p
        vault expect ask $Y p        # on the newest connection, which the stand-in writes to
        vault send $Y yes
        vault expect closed
        c1 expect 2 Error
        c1 expect nothing
        node expect count calls.cut_off 1""",
    "unsolicited and duplicate replies are ignored": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        runtime send wants $X q
        vault expect ask $X q
        vault send 0123456789abcdef yes other
        vault send $X yes first
        vault send $X yes first
        runtime expect give $X first
        runtime send wants $X q2
        vault expect ask $X q2       # on a new connection: the duplicate could pass for its reply
        vault send $X yes second
        runtime expect give $X second
        runtime send end $X ok r
        c1 expect 1 ok r
        node expect count vault.stray_reply 2
        node expect count vault.connected 2""",
    "the end of a run cancels its call": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        runtime send wants $X q
        vault expect ask $X q
        runtime send end $X failed
        vault expect unask $X
        c1 expect 1 Error""",
    # The second address, for operators
    "a node that operators divert callers from reports it, and serves the requests that still arrive": """
        desk send POST /healthcheck/fail
        desk expect 200 away=True
        c1 send 1 health
        c1 expect 1 ok False
        desk send GET /healthcheck
        desk expect 503
        c2 send 1 slot-search body=b    # is still served
        runtime expect start * slot-search b as X
        runtime send end $X ok r
        c2 expect 1 ok r
        catalog expect PUT * *
        desk send POST /healthcheck/ok
        desk expect 200
        c1 send 2 health
        c1 expect 2 ok True
        desk send GET /healthcheck
        desk expect 200 ready=True""",
    "the statistics count the outcomes of requests by class": """
        c1 send 1 slot-search body=a
        runtime expect start * slot-search a as X
        c1 send 2 day-view body=b
        runtime expect start * day-view b as Y
        runtime send end $X ok r
        c1 expect 1 ok r
        runtime send end $Y failed
        c1 expect 2 Error
        c1 send 3 slot-search body=c
        runtime expect start * slot-search c as Z
        desk send GET /stats
        desk expect 200 succeeded.slot-search=1 aborted.day-view=1 forwards=3 outstanding=1
        runtime send end $Z ok r
        c1 expect 3 ok r
        node send reload 2
        desk send GET /stats
        desk expect 200 * * * sighup_applied=1""",
    "silent connections of operators do not block others, and invalid requests get an error status": """
"""
    + "".join(
        f"""
        d{number} send raw 47"""
        for number in range(1, 40)
    )
    + """
        desk send GET /healthcheck
        desk expect 200
        desk send DELETE /stats
        desk expect 405
        desk send GET /nothing
        desk expect 404
        desk send raw 0d0a0d0a
        desk expect 400""",
    # Upgrades
    "an old process hands over, and a key that it runs is not run by the new process": """
        c1 send 1 book-visit key=K body=a
        runtime expect start * book-visit a as X
        node send start
        runtime2 expect sync 0
        desk expect ready
        node send term
        c1 expect lastCall
        c1 send 2 health    # the new process keeps the node healthy
        c1 expect 2 ok True
        c2 send 1 book-visit key=K body=a
        c3 send 1 book-visit key=K body=b    # another body: the stored result is not served
        c3 expect 1 Error
        runtime2 expect nothing
        runtime send end $X ok r
        c1 expect 1 ok r
        c2 expect 1 ok r
        node expect left
        c4 send 1 book-visit key=K body=a
        c4 expect 1 ok r
        c4 send 2 slot-search body=c
        runtime2 expect start * slot-search c as Y
        runtime2 send end $Y ok s
        c4 expect 2 ok s
        node2 send term
        node2 expect left""",
    # The keys of a class must not depend on the classes above it: both processes ran one key.
    "a key runs in one process though a reload has dropped a class above its own": """
        node send reload 1 drop=slot-search
        node expect count reload.done 1
        c1 send 1 book-visit key=K body=a
        runtime expect start * book-visit a as X
        runtime send end $X ok r
        c1 expect 1 ok r
        node send start drop=slot-search
        runtime2 expect sync 0
        desk expect ready
        node send term
        c1 expect lastCall
        c2 send 1 book-visit key=K body=a
        c2 expect 1 ok r
        node2 expect count keys.locked_elsewhere 1
        runtime2 expect nothing
        node expect left
        node2 send term
        node2 expect left""",
    "a key runs in one process though a class above its own is dropped between its tries": """
        c1 send 1 book-visit key=K body=a
        runtime expect start * book-visit a as X
        node send reload 1 drop=slot-search
        node expect count reload.done 1
        node send start drop=slot-search
        runtime2 expect sync 0
        desk expect ready
        node send term
        c1 expect lastCall
        c2 send 1 book-visit key=K body=a
        runtime2 expect nothing
        runtime send end $X ok r
        c1 expect 1 ok r
        c2 expect 1 ok r
        node2 expect count keys.locked_elsewhere 1
        node expect left
        node2 send term
        node2 expect left""",
    "a key whose run failed in the old process fails in the new one, a key that never ran is run there": """
        c1 send 1 book-visit key=K body=a
        runtime expect start * book-visit a as X
        c1 send 2 book-visit key=L body=b
        runtime expect start * book-visit b as Y
        node send start
        desk expect ready
        node send term
        c1 expect lastCall
        c2 send 1 book-visit key=K body=a
        c3 send 1 book-visit key=L body=b
        runtime2 expect sync 0
        runtime send end $X failed
        runtime send end $Y void
        c1 expect * *
        c1 expect * *
        c2 expect 1 Error
        runtime2 expect start * book-visit b as Z
        runtime2 send end $Z ok r
        c3 expect 1 ok r""",
    "without a second process a signal starts a drain": """
        c1 send 1 health
        c1 expect 1 ok True
        node send term
        c1 expect lastCall    # after the grace period, when the event loop knows of the drain
        c1 send 2 health
        c1 expect 2 ok False
        node expect left""",
    # The catalog, the service registry
    "reports to the catalog continue after an outage": """
        catalog expect PUT /catalog/register/n3 passing
        catalog send answer 500
        catalog expect PUT
        node expect count catalog.failed 1
        catalog send answer 204
        catalog expect closed
        catalog expect PUT /catalog/register/n3 passing""",
    "a catalog that answers with Retry-After gets no report until then": """
        catalog expect PUT
        catalog send answer 503 retry-after=3
        catalog expect PUT
        catalog expect closed
        catalog send answer 204
        wait 1
        catalog expect nothing    # without Retry-After the node would report again after 0.4 s at most
        catalog expect PUT""",
    # Reloads
    "after a reload runs and serials continue over the new link, and calls go to the new vault": """
        catalog expect PUT
        c1 send 1 book-visit key=K body=a
        runtime expect start * book-visit a as X
        runtime send wants $X q
        vault expect ask $X q
        node send reload 2
        runtime expect closed
        runtime2 expect sync 1
        vault send $X yes late       # a call in progress ends on its old connection
        runtime2 expect give $X late
        c1 send 2 book-visit key=L body=b
        runtime2 expect start * book-visit b as Y
        runtime2 send number 1
        runtime2 send wants $Y q
        vault2 expect ask $Y q
        vault expect closed
        runtime2 send end $X ok r
        c1 expect 1 ok r
        catalog2 expect PUT /catalog/register/n3 passing
        catalog expect closed""",
    "new settings add a class and drop another, and open requests keep their class": """
        c1 send 1 day-view body=a
        runtime expect start * day-view a as X
        c1 send 2 late-view
        c1 expect 2 Bad
        node send reload 1 add=late-view drop=day-view
        node expect count reload.done 1
        c1 send 3 late-view body=b
        runtime expect start * late-view b as Y
        runtime send end $Y ok r
        c1 expect 3 ok r
        c1 send 4 day-view body=c    # a dropped class is still accepted, since callers learn of it late
        runtime expect start * day-view c as Z
        runtime send end $Z ok r
        c1 expect 4 ok r
        runtime send end $X ok r
        c1 expect 1 ok r
        desk send GET /stats
        desk expect 200 succeeded.day-view=2 succeeded.late-view=1 forwards=3 sighup_applied=1""",
    "a key stays known if its class gets another deadline": """
        c1 send 1 book-visit key=K body=a
        runtime expect start * book-visit a as X
        node send reload 1 deadline=book-visit:9000000
        node expect count reload.done 1
        c1 send 2 book-visit key=K body=a
        node expect count keys.joined 1
        runtime send end $X ok r
        c1 expect * ok r
        c1 expect * ok r
        c1 send 3 book-visit key=K body=a
        c1 expect 3 ok r
        node expect count runs.started 1""",
    "a file with an invalid deadline or a missing key is rejected as a whole": """
        node send reload 2 add=late-view deadline=day-view:0
        node send reload 2 add=late-view deadline=day-view:-5
        node send reload 2 add=late-view deadline=day-view:soon
        node send reload 2 add=late-view lacks=seed
        node send reload 2 add=late-view lacks=settings
        node expect count reload.refused 5
        c1 send 1 late-view
        c1 expect 1 Bad
        runtime expect nothing
        desk send GET /stats
        desk expect 200 sighup_rejected=5""",
    "a second reload may return to the first addresses": """
        c1 send 1 slot-search
        runtime expect start * as X
        runtime send wants $X q
        vault expect ask $X q
        node send reload 2
        runtime2 expect sync 1
        node send reload 1
        runtime2 expect closed
        runtime expect closed
        runtime expect sync 1
        vault send $X yes a
        runtime expect give $X a
        runtime send end $X ok r
        c1 expect 1 ok r
        node expect count reload.done 2""",
    "an invalid configuration leaves the old one in use": """
        node send reload 2 runtime=nowhere
        node expect count reload.refused 1
        c1 send 1 slot-search
        runtime expect start * as X
        runtime send end $X ok r
        c1 expect 1 ok r""",
    # Drain
    "a drain sends lastCall, answers the requests that were read, and ends": """
        c1 send 1 slot-search
        runtime expect start * as X
        node send term
        wait 0.1
        c1 send 2 slot-search
        runtime expect start * as Y
        c1 expect lastCall
        runtime send end $X ok r
        c1 expect 1 ok r
        runtime send end $Y ok r
        c1 expect 2 ok r
        node expect left""",
    "a drain runs no request that arrives after the grace period": """
        c1 send 1 slot-search
        runtime expect start * as X
        node send term
        c1 expect lastCall
        wait 0.1
        c1 send 2 slot-search
        c1 expect 2 Full
        runtime send end $X ok r
        c1 expect 1 ok r
        node expect left""",
    "a run that does not end is failed before the stop": """
        with stop_ms=1500
        c1 send 1 slot-search
        c1 send 2 book-visit key=K
        runtime expect start *
        runtime expect start *
        node send term
        c1 expect lastCall
        c1 expect * Error
        c1 expect * Error
        node expect left""",
    "a drain while the event loop is blocked for a second": """
        c1 send 1 slot-search
        runtime expect start * as X
        node send block owner 1.0
        c2 send 1 health
        c2 expect 1 ok True
        node send term
        wait 0.5  # past the grace period; the event loop does not know of the drain yet
        c2 send 2 slot-search
        runtime send end $X ok r
        c1 expect lastCall
        c1 expect 1 ok r
        c2 expect lastCall
        c2 expect 2 Full
        node expect left""",
    "a drain while the event loop is blocked beyond the stop: the front end sends the missing answers": """
        with stop_ms=1500
        c1 send 1 slot-search
        runtime expect start *
        c2 send 1 book-visit key=K
        runtime expect start *
        node send block owner 3
        c1 send 2 day-view
        node send term
        c1 expect lastCall
        c1 expect * Error
        c1 expect * Error
        c2 expect lastCall
        c2 expect 1 Error
        node expect left late""",
    "a drain rejects the requests that are still unread in socket buffers, and runs none of them": """
        with stop_ms=2000
        c1 send 1 health
        c1 expect 1 ok True
        c2 send 1 health
        c2 expect 1 ok True
        node send block poller 1.5
        node send term
        c1 send 2 slot-search
        c1 send 3 book-visit key=K
        c2 send 2 day-view
        c3 send 1 day-view
        c1 expect lastCall
        c1 expect 2 Full
        c1 expect 3 Full
        c2 expect lastCall
        c2 expect 2 Full
        c3 expect lastCall
        c3 expect 1 Full
        node expect left
        node expect count drain.refused_at_the_door 4
        runtime expect nothing""",
    "a second request to drain, and a reload, do not change a drain": """
        c1 send 1 slot-search
        runtime expect start * as X
        node send term
        admin send POST /v1/drain
        admin expect 409
        node send reload 2
        c1 expect lastCall
        runtime2 expect sync *
        runtime2 send number 1
        runtime2 send end $X ok r
        c1 expect 1 ok r
        node expect left""",
    "a caller that sends malformed bytes still gets the answers to its open requests": """
        c1 send 1 slot-search
        runtime expect start *
        c2 send 1 slot-search
        runtime expect start * as Y
        c1 send raw c1
        c1 expect 1 Error
        c1 expect closed
        runtime expect stop *
        runtime send end $Y ok r
        c2 expect 1 ok r""",
    "a message id that is in use closes the connection after the answer to the first request": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        c1 send 1 slot-search
        c1 expect 1 Error
        c1 expect closed
        runtime send end $X ok r
        c2 send 1 book-visit key=K
        c2 expect 1 ok r""",
    # AJP
    "CPing is answered, and the connection serves one request after another": """
        a1 send cping
        a1 expect cpong
        a1 send GET /days/1 host=clinic
        w1 expect GET /days/1
        w1 send 200 monday
        a1 expect 200 monday reuse=1
        a1 send GET /days/2 host=clinic
        w2 expect GET /days/2
        w2 send 404 none
        a1 expect 404 none reuse=1""",
    "a body of many chunks reaches the worker complete": """
        a1 send POST /visits host=clinic key=K body=20000*x
        w1 expect POST /visits 20000*x
        w1 send 200 30000*y
        a1 expect 200 30000*y""",
    "a body of unknown length is requested from the web server": """
        a1 send POST /days host=clinic chunked
        a1 expect wants body
        a1 send chunk body=abc
        a1 expect wants body
        a1 send chunk
        w1 expect POST /days abc
        w1 send 200 ok
        a1 expect 200 ok""",
    "sessions stay with their worker": """
        a1 send GET /days host=clinic cookie=JSESSIONID:5F.w2
        w2 expect GET /days
        w2 send 200 a
        a1 expect 200 a
        a1 send GET /days host=clinic cookie=JSESSIONID:5F.w2
        w2 expect GET /days
        w2 send 200 b
        a1 expect 200 b""",
    "retry: two attempts over AJP share one run": """
        a1 send POST /visits host=clinic key=K body=x
        w1 expect POST /visits x
        a2 send POST /visits host=clinic key=K body=x
        w2 expect nothing
        w1 send 201 slot-9
        a1 expect 201 slot-9
        a2 expect 201 slot-9
        node expect count runs.started 1""",
    "retry: an attempt over AJP joins the run of the platform's attempt": """
        c1 send 1 book-visit key=K body=x
        runtime expect start * book-visit x as X
        a1 send POST /visits key=K body=x
        runtime expect nothing
        runtime send end $X ok slot-9
        c1 expect 1 ok slot-9
        a1 expect 200 slot-9""",
    "retry: the platform's attempt is served the result of the attempt over AJP": """
        a1 send POST /visits key=K body=x
        runtime expect start * book-visit x as X
        runtime send end $X ok slot-9
        a1 expect 200 slot-9
        c1 send 1 book-visit key=K body=x
        c1 expect 1 ok slot-9
        runtime expect nothing""",
    # Web servers' requests kept the classes of the start: tries of a class made keyed by SIGHUP ran twice.
    "retry: two attempts over AJP share one run of a class that SIGHUP has made keyed": """
        node send reload 1 keyed=day-view
        node expect count reload.done 1
        a1 send GET /days host=clinic key=K
        w1 expect GET /days
        a2 send GET /days host=clinic key=K
        w2 expect nothing
        w1 send 200 r
        a1 expect 200 r
        a2 expect 200 r
        node expect count runs.started 1""",
    "retry: after a SIGHUP an attempt over AJP joins the run of the platform's attempt": """
        node send reload 1 keyed=day-view
        node expect count reload.done 1
        c1 send 1 day-view key=K body=x
        runtime expect start * day-view x as X
        a1 send GET /days key=K body=x
        node expect count keys.joined 1
        runtime send end $X ok slot-9
        c1 expect 1 ok slot-9
        a1 expect 200 slot-9
        node expect count runs.started 1""",
    "a web server's request of a class that SIGHUP has just dropped is still served": """
        node send reload 1 drop=day-view
        node expect count reload.done 1
        a1 send GET /days host=clinic
        w1 expect GET /days
        w1 send 200 r
        a1 expect 200 r""",
    "the same key of two tenants is two requests": """
        a1 send POST /visits host=clinic key=K body=x
        w1 expect POST /visits x
        a2 send POST /visits host=single key=K body=x
        w1 send 200 r
        a1 expect 200 r
        w1 expect POST /visits x
        w1 send 200 s
        a2 expect 200 s""",
    "a tenant beyond its own limit is rejected, the others are not": """
        a1 send GET /days host=single
        w1 expect GET /days
        a2 send GET /days host=single
        w1 expect GET /days
        a3 send GET /days host=single
        a3 expect 503 Full reuse=1 retry=1
        node expect count tenant.single.refused 1
        w1 send 200 r
        a2 expect 200 r""",
    "a request whose worker breaks may have run: no failover, and retries fail too": """
        a1 send POST /visits host=clinic key=K body=x
        w1 expect POST /visits x
        w1 close
        a1 expect 500 Failed
        w2 expect nothing
        a1 send POST /visits host=clinic key=K body=x
        a1 expect 500 Failed
        w2 expect nothing""",
    "a worker that can't be reached has run nothing: the next worker is used": """
        w1 close listener
        a1 send GET /days host=clinic
        w2 expect GET /days
        w2 send 200 r
        a1 expect 200 r
        node expect count workers.unreachable 1""",
    "without a reachable worker a request is rejected and its key not occupied": """
        w1 close listener
        a1 send POST /visits host=single key=K body=x
        a1 expect 503 Full reuse=1 retry=1
        node expect count workers.none_left 1
        node expect count runs.moot 1""",
    "a connection to a worker that was closed while idle is opened again": """
        a1 send GET /days host=single
        w1 expect GET /days
        w1 send 200 r
        a1 expect 200 r
        w1 close
        w1 expect closed
        a1 send GET /days host=single
        w1 expect GET /days
        w1 send 200 s
        a1 expect 200 s""",
    "a response beyond the limit fails": """
        a1 send GET /days host=single
        w1 expect GET /days
        w1 send 200 70000*y
        a1 expect 500 Failed""",
    "AJP overload: a request that can't be started in time is rejected with Retry-After": """
        with busy=1
        a1 send GET /x host=clinic
        w1 expect GET /x
        a2 send GET /x host=clinic
        w2 expect GET /x
        a3 send GET /days host=clinic
        a3 expect 503 Full reuse=1 retry=1
        w1 send 200 r
        a1 expect 200 r""",
    "AJP drain: requests that were read are answered, then their connection is closed": """
        a1 send POST /visits host=clinic key=K body=x
        w1 expect POST /visits x
        a2 send cping
        a2 expect cpong
        node send term
        a2 expect closed
        w1 send 200 r
        a1 expect 200 r reuse=0
        a1 expect closed
        node expect left""",
    "AJP drain: a run that does not end is failed before the stop": """
        with stop_ms=1500
        a1 send POST /visits host=clinic key=K body=x
        w1 expect POST /visits x
        node send term
        a1 expect 500 Failed
        node expect left""",
    "a request without the AJP secret is refused": """
        with secret=open-sesame
        a1 send GET /days host=clinic
        a1 expect 403
        a1 expect closed
        a2 send GET /days host=clinic secret=open-sesame
        w1 expect GET /days
        w1 send 200 r
        a2 expect 200 r""",
    "a shutdown packet is refused": """
        a1 send shutdown
        a1 expect closed
        node expect count ajp.shutdown_refused 1
        c1 send 1 health
        c1 expect 1 ok True""",
    "an attribute that no web server sends is refused": """
        a1 send GET /days host=clinic attribute=javax.servlet.include.path_info
        a1 expect 403
        w1 expect nothing""",
    "a request without tenant, route or key is answered by the node itself": """
        a1 send GET /elsewhere host=single
        a1 expect 404
        a1 send POST /visits host=clinic body=x
        a1 expect 400
        w1 expect nothing""",
    "a long body is refused, with and without a content length": """
        with max_body_kb=1
        a1 send POST /days host=clinic body=2000*x
        a1 expect 413
        a1 expect closed
        a2 send POST /days host=clinic chunked
        a2 expect wants body
        a2 send chunk body=2000*x
        a2 expect 413""",
    "malformed packets close only their own connection": """
        a1 send hex 4142000109
        a1 expect closed
        a2 send hex 1234ffff
        a2 expect closed
        a3 send hex 12340003020405
        a3 expect closed
        node expect count ajp.malformed 3
        a4 send cping
        a4 expect cpong""",
    # Tenants
    "a tenant is removed while its requests are held, running and joined, and added again in the window": """
        with busy=1
        a1 send POST /visits host=clinic key=K body=x
        w1 expect POST /visits x
        a2 send POST /visits host=clinic key=K body=x
        a3 send GET /y host=clinic    # not /days, whose deadline of 1 s may pass on a busy machine
        w2 expect GET /y
        a4 send GET /x host=clinic
        node expect count keys.joined 1
        node expect count requests.read 4
        admin send DELETE /v1/tenants/clinic?within_ms=800
        admin expect 202
        a5 send GET /days host=clinic
        a5 expect 503 Full reuse=1 retry=1
        a4 expect 503
        a3 expect 500
        a2 expect 500
        a1 expect 500
        node expect count tenants.removed 1
        node expect count tenants.ended_in_hand 4
        admin send GET /v1/tenants/clinic
        admin expect 404
        w1 send 200 booked
        node expect count runs.ok 1
        a1 expect nothing
        admin send POST /v1/tenants {"name":"clinic","backend":"w2","default_class":"book-visit"}
        admin expect 201
        a6 send POST /visits host=clinic key=K body=x
        a6 expect 200 booked
        node expect count runs.started 2
        node expect count answers.refused 1""",
    "a tenant without requests is removed at once, another one when its last run ends": """
        a1 send GET /days host=clinic
        w1 expect GET /days
        admin send DELETE /v1/tenants/single
        admin expect 204
        admin send DELETE /v1/tenants/clinic?within_ms=60000
        admin expect 202
        admin send DELETE /v1/tenants/clinic?within_ms=soon
        admin expect 400 within_ms
        admin send POST /v1/tenants/clinic/suspend
        admin expect 409
        admin send PUT /v1/tenants/clinic {"backend":"w1"}
        admin expect 409
        w1 send 200 r
        a1 expect 200 r
        node expect count tenants.removed 2
        node expect count tenants.ended_in_hand 0""",
    "a suspended tenant is rejected while others are served, and its running requests continue": """
        a1 send GET /days host=clinic
        w1 expect GET /days
        admin send POST /v1/tenants/clinic/suspend
        admin expect 200
        a2 send GET /days host=clinic
        a2 expect 503
        w1 send 200 r
        a1 expect 200 r
        a3 send GET /days host=single
        w1 expect GET /days
        w1 send 200 s
        a3 expect 200 s
        admin send GET /v1/tenants/clinic/usage
        admin expect 200
        admin send POST /v1/tenants/clinic/resume
        admin expect 200
        a2 send GET /days host=clinic
        w2 expect GET /days
        w2 send 200 t
        a2 expect 200 t""",
    "shares are set through the API, and guarantees can't exceed the whole in total": """
        admin send PUT /v1/tenants/single {"backend":"w1","share":{"weight":2,"guarantee":0.7}}
        admin expect 200
        admin send PUT /v1/tenants/clinic {"backend":"both","share":{"guarantee":0.4}}
        admin expect 400 share.guarantee
        admin send PUT /v1/tenants/clinic {"backend":"both","share":{"weight":0}}
        admin expect 400 share.weight
        admin send PUT /v1/tenants/clinic {"backend":"both","share":{"classes":{"none":1}}}
        admin expect 400 share.classes.none""",
    "a full table of connections closes idle ones of the address that has most": """
        with max_connections=3
        a1 send cping
        a1 expect cpong
        a2 send cping
        a2 expect cpong
        a3 send GET /days host=clinic
        w1 expect GET /days
        a4 send cping source=127.0.0.2
        a4 expect cpong
        a1 expect closed
        a5 send cping
        a5 expect closed
        w1 send 200 r
        a3 expect 200 r""",
    "a tenant's limit of connections holds for it alone": """
        a1 send GET /days host=narrow
        w1 expect GET /days
        w1 send 200 r
        a1 expect 200 r
        a2 send GET /days host=narrow
        a2 expect 503
        a2 expect closed
        a3 send GET /days host=clinic
        w2 expect GET /days
        w2 send 200 r
        a3 expect 200 r""",
    # The administration API
    "a change that is based on an old revision is refused, one on the newest is made": """
        admin send GET /v1/tenants/single
        admin expect 200 "2" *
        admin send PATCH /v1/tenants/single {"max_open":7} match="2"
        admin expect 200 "5" *
        admin send PATCH /v1/tenants/single {"max_open":8} match="2"
        admin expect 412 If-Match
        admin send DELETE /v1/tenants/single match="4"
        admin expect 412 If-Match
        admin send PUT /v1/tenants/single {"backend":"w2"} match="1","5"
        admin expect 200 "6" *
        admin send PATCH /v1/tenants/single {"max_open":-1}
        admin expect 400 max_open
        admin send PATCH /v1/tenants/single []
        admin expect 400""",
    "a dry run returns the result of a change without making it": """
        admin send DELETE /v1/tenants/single?dry_run=true
        admin expect 200 "2" *
        admin send PATCH /v1/tenants/single?dry_run=true {"max_open":7}
        admin expect 200 "2" *
        admin send POST /v1/tenants?dry_run=true {"name":"new","backend":"w1"}
        admin expect 200 - *
        admin send POST /v1/tenants?dry_run=maybe {"name":"new","backend":"w1"}
        admin expect 400 dry_run
        admin send GET /v1/tenants/new
        admin expect 404
        admin send GET /v1/tenants/single
        admin expect 200 "2" *""",
    "a repeated POST with the same key creates nothing, and its key can't create another tenant": """
        admin send POST /v1/tenants {"name":"new","backend":"w1"} key=k1
        admin expect 201 "5" *
        admin send POST /v1/tenants {"name":"new","backend":"w1"} key=k1
        admin expect 201 "5" *
        admin send POST /v1/tenants {"name":"newer","backend":"w1"} key=k1
        admin expect 422 Idempotency-Key
        admin send POST /v1/tenants {"name":"new","backend":"w1"} key=k2
        admin expect 409 name""",
    "a tenant's token reads only its tenant, an operator's may do all and is named in the audit trail": """
        admin send GET /v1/tenants/clinic token=a-member
        admin expect 200
        admin send GET /v1/tenants/clinic/usage token=a-member
        admin expect 200
        admin send GET /v1/tenants/single token=a-member
        admin expect 403
        admin send GET /v1/tenants/nobody token=a-member
        admin expect 403
        admin send PATCH /v1/tenants/clinic {"max_open":1} token=a-member
        admin expect 403
        admin send GET /v1/audit token=a-member
        admin expect 403
        admin send PATCH /v1/tenants/clinic {"max_open":1} token=a-second
        admin expect 200
        admin send GET /v1/audit?after=4
        admin expect 200 - *
        admin send GET /v1/status token=a-third
        admin expect 401""",
    "lists are returned in pages, and the audit trail names who changed what": """
        admin send GET /v1/tenants?limit=2
        admin expect 200 - *
        admin send GET /v1/tenants?limit=0
        admin expect 400 limit
        admin send POST /v1/tenants/single/suspend
        admin expect 200 "5" *
        admin send GET /v1/audit?after=4
        admin expect 200 - *
        admin send GET /v1/audit?after=x
        admin expect 400 after""",
    "a valid token is required": """
        admin send GET /v1/status token=wrong
        admin expect 401
        admin send GET /v1/status
        admin expect 200""",
    "tenants are created, read, updated and deleted": """
        admin send POST /v1/tenants {"name":"new","backend":"w1","prefix":"/new"}
        admin expect 201
        a1 send GET /new/x
        a1 expect 404
        admin send POST /v1/tenants {"name":"new","backend":"w1"}
        admin expect 409 name
        admin send PUT /v1/tenants/new {"backend":"w1","prefix":"/new","default_class":"slot-search"}
        admin expect 200
        a1 send GET /new/x
        w1 expect GET /new/x
        w1 send 200 r
        a1 expect 200 r
        admin send GET /v1/tenants/new
        admin expect 200
        admin send DELETE /v1/tenants/new
        admin expect 204
        admin send GET /v1/tenants/new
        admin expect 404
        admin send DELETE /v1/tenants/new
        admin expect 404
        a1 send GET /new/x
        a1 expect 404""",
    "an invalid tenant is answered with the name of the field": """
        admin send POST /v1/tenants {"name":"new"}
        admin expect 400 backend
        admin send POST /v1/tenants {"name":"new","backend":"w9"}
        admin expect 400 backend
        admin send POST /v1/tenants {"name":"new","backend":"w1","bogus":1}
        admin expect 400 bogus
        admin send PUT /v1/tenants/clinic {"backend":"w1","routes":[{"class":"none"}]}
        admin expect 400 routes[0].class
        admin send PUT /v1/tenants/nobody {"backend":"w1"}
        admin expect 404
        admin send POST /v1/tenants nonsense
        admin expect 400""",
    "workers are listed and taken out of service": """
        admin send PUT /v1/workers/w1 {"activation":"stopped"}
        admin expect 200
        a1 send GET /days host=clinic
        w2 expect GET /days
        w2 send 200 r
        a1 expect 200 r
        admin send PUT /v1/workers/w1 {"activation":"asleep"}
        admin expect 400 activation
        admin send GET /v1/workers/w9
        admin expect 404
        admin send GET /v1/workers
        admin expect 200""",
    "unknown methods and paths and long bodies get an error status": """
        admin send PATCH /v1/tenants {}
        admin expect 405
        admin send GET /v1/nothing
        admin expect 404
        admin send GET /v1/counters
        admin expect 200
        admin send POST /v1/tenants """
    + "x" * 300_000
    + """
        admin expect 413
        admin expect closed""",
    "a drain can be requested only once": """
        admin send POST /v1/drain
        admin expect 202
        node expect asked
        admin send POST /v1/drain
        admin expect 409""",
}


def test_web_servers_get_503_for_a_class_that_was_dropped_a_while_ago(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against requests of a dropped class that web servers could send until the next start."""
    monkeypatch.setattr(current_classes, "REMOVED_CLASS_GRACE_S", 0.0)
    scenario.play("""
        node send reload 1 drop=day-view
        node expect count reload.done 1
        a1 send GET /days host=clinic
        a1 expect 503
        a1 send POST /visits host=clinic key=K body=x
        w1 expect POST /visits x
        w1 send 200 r
        a1 expect 200 r""")


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario(name: str) -> None:
    scenario.play(SCENARIOS[name])
