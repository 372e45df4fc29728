"""The node on real sockets among stand-ins, told in the scenario language (see scenario.py)."""

import pytest
import scenario

SCENARIOS = {
    # The platform's protocol
    "a request is run and its result handed back unchanged": """
        c1 send 7 slot-search body=hello
        runtime expect start * slot-search hello as X
        runtime send end $X ok the-result
        c1 expect 7 ok the-result
        node expect count answers.served 1""",
    "answers may come back in any order": """
        c1 send 1 slot-search body=a
        runtime expect start * slot-search a as A
        c1 send 2 slot-search body=b
        runtime expect start * slot-search b as B
        runtime send end $B ok rb
        c1 expect 2 ok rb
        runtime send end $A ok ra
        c1 expect 1 ok ra""",
    "a run that fails is an error and no refusal": """
        c1 send 1 slot-search
        runtime expect start * as X
        runtime send end $X failed
        c1 expect 1 Error""",
    "a command not carried out proves that nothing ran": """
        c1 send 1 slot-search
        runtime expect start * as X
        runtime send nack $X start
        c1 expect 1 Full""",
    "a request past its time is turned away unrun": """
        c1 send 1 day-view age=2000
        c1 expect 1 Full
        runtime expect nothing""",
    "a run that does not end is failed before the due time, without gauges too": """
        runtime send gauges off
        c1 send 1 day-view
        runtime expect start *
        c1 expect 1 Error
        node expect count answers.by_guard 0""",
    "overload: what can't be started in time is refused with a time to stay away": """
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
    "an idle connection hears lastCall, one with an open request does not": """
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
    "a caller that closes after sending harms nobody": """
        c1 send 1 slot-search
        runtime expect start * as X
        c1 close
        runtime send end $X ok r
        c2 send 1 slot-search
        runtime expect start * as Y
        runtime send end $Y ok r
        c2 expect 1 ok r""",
    # Bad input
    "a malformed frame closes that connection only": """
        c1 send raw c1
        c1 expect closed
        node expect count platform.malformed 1
        c2 send 1 health
        c2 expect 1 ok True""",
    "an oversized length is refused from its header": """
        c1 send raw 94000aa3616263dbffffffff
        c1 expect closed
        node expect count platform.malformed 1""",
    "an unknown class, a bad field and a long body get an error answer": """
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
    "two requests under one id can't be told apart, so the second fails": """
        c1 send 1 slot-search txn=aa
        runtime expect start aa
        c1 send 2 slot-search txn=aa
        c1 expect 2 Error
        runtime send end aa ok r
        c1 expect 1 ok r""",
    "message ids that are no numbers or negative close the connection": """
        c1 send raw 9400c3a66865616c74689180
        c1 expect closed
        c2 send raw 9400ffa66865616c74689180
        c2 expect closed
        node expect count platform.malformed 2""",
    "a door far from the clock is an error": """
        c1 send 1 slot-search age=-3600000
        c1 expect 1 Bad why=door
        c1 send 2 book-visit key=K age=3600000
        c1 expect 2 Bad why=door
        runtime expect nothing""",
    "of a connection that sends nothing but bad requests nothing more is run": """
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
    "callers are numbered without end": """
        c1 send 1 slot-search lb=70001
        runtime expect start * as X
        runtime send end $X ok r
        c1 expect 1 ok r""",
    "more open requests than the protocol allows are turned away at once": "with busy=1"
    + "".join(
        f"""
        c1 send {number} slot-search"""
        for number in range(1, 70)
    )
    + """
        node expect count platform.closed_bad 1""",
    "a connection that says nothing, or half a request, is closed within three seconds": """
        c1 send raw 94
        c2 send raw
        wait 2.6
        c1 expect lastCall
        c1 expect closed
        c2 expect lastCall
        c2 expect closed""",
    "half a request closes its connection after what is open there": """
        c1 send 1 slot-search
        runtime expect start * as X
        c1 send raw 94
        wait 2.6
        runtime send end $X ok r
        c1 expect 1 ok r
        c1 expect closed
        node expect count platform.closed_partial 1""",
    "at the limit the connection that is idle for longest makes room, and those in use stay": """
        with sockets=270             # less what is kept, and half of it for AJP: 40
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
    # Keys
    "a known key with another body is an error, and served neither what is kept nor run": """
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
    "a repeat waits for the run and is served its result": """
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
    "tries read together run once": """
        c1 send 1 book-visit key=K
        c1 send 2 book-visit key=K
        c1 send 3 book-visit key=K
        runtime expect start * as X
        runtime expect nothing
        runtime send end $X ok r
        c1 expect 1 ok r
        c1 expect 2 ok r
        c1 expect 3 ok r""",
    "a run that failed is not run again for a repeat, nor is the repeat turned away": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        runtime send end $X failed
        c1 expect 1 Error
        c1 send 2 book-visit key=K
        c1 expect 2 Error
        runtime expect nothing""",
    "a result is kept for repeats though its first caller has gone": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        c1 close
        runtime send end $X ok r
        node expect count runs.ok 1
        c2 send 1 book-visit key=K
        c2 expect 1 ok r""",
    "a try that never ran leaves its key free": """
        c1 send 1 book-visit key=K age=9000
        c1 expect 1 Full
        c1 send 2 book-visit key=K
        runtime expect start * as X
        runtime send end $X ok r
        c1 expect 2 ok r""",
    # The runtime's link
    "after a broken link: sync with the last serial, lost commands again, replays ignored": """
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
    "ready may come late: no command goes out before": """
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
    "a runtime that has started anew has lost its runs": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        wait 0.1
        runtime send raw {"msg":"ready","how":"cold","duration":-6000}
        c1 expect 1 Error
        c1 send 2 book-visit key=K
        c1 expect 2 Error""",
    "what is no notice closes the link, and it is opened again": """
        runtime send raw nonsense
        runtime expect closed
        runtime expect sync 0
        node expect count runtime.malformed 1""",
    # The vault
    "a call is made and its reply handed over": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        runtime send wants $X ask-this
        vault expect ask $X ask-this
        vault send $X yes the-reply
        runtime expect give $X the-reply
        runtime send end $X ok r
        c1 expect 1 ok r""",
    "a call that was turned away is made again where it can't be skipped": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        runtime send wants $X q
        vault expect ask $X q
        vault send $X notnow
        vault expect ask $X q
        vault send $X yes a
        runtime expect give $X a""",
    "a connection that breaks under a call proves nothing: it is not made again": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        runtime send wants $X q
        vault expect ask $X q
        vault close
        vault expect closed
        c1 expect 1 Error
        vault expect nothing""",
    "a call that failed is left out where the class allows": """
        c1 send 1 slot-search
        runtime expect start * as X
        runtime send wants $X q
        vault expect ask $X q
        vault send $X failed
        runtime expect omit $X
        runtime send end $X ok poorer
        c1 expect 1 ok poorer""",
    "a vault that refuses connections is unreachable: left out where allowed": """
        vault close listener
        c1 send 1 slot-search
        runtime expect start * as X
        runtime send wants $X q
        runtime expect omit $X
        node expect count calls.unreachable 1""",
    "a malformed reply closes the connection, the next call opens another": """
        c1 send 1 slot-search
        runtime expect start * as X
        runtime send wants $X q
        vault expect ask $X q
        vault send $X what
        vault expect closed
        runtime expect omit $X
        runtime send wants $X q2
        vault expect ask $X q2""",
    "a spoilt reply costs its own call, not those that are out beside it": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        runtime send wants $X q
        vault expect ask $X q
        c1 send 2 book-visit key=L
        runtime expect start * as Y
        runtime send wants $Y p
        vault expect ask $Y p        # on the newest connection, the one that the stand-in writes to
        vault send $Y yes
        vault expect closed
        c1 expect 2 Error
        c1 expect nothing
        node expect count calls.cut_off 1""",
    "replies that nobody asked for, or that come twice, are passed over": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        runtime send wants $X q
        vault expect ask $X q
        vault send 0123456789abcdef yes other
        vault send $X yes first
        vault send $X yes first
        runtime expect give $X first
        runtime send wants $X q2
        vault expect ask $X q2       # on a new connection: the copy could pass for its reply
        vault send $X yes second
        runtime expect give $X second
        runtime send end $X ok r
        c1 expect 1 ok r
        node expect count vault.stray_reply 2
        node expect count vault.connected 2""",
    "the end of a run gives its call up": """
        c1 send 1 book-visit key=K
        runtime expect start * as X
        runtime send wants $X q
        vault expect ask $X q
        runtime send end $X failed
        vault expect unask $X
        c1 expect 1 Error""",
    # The second address
    "a node that operators send callers away from says so and serves whatever still comes": """
        desk send POST /healthcheck/fail
        desk expect 200 away=True
        c1 send 1 health
        c1 expect 1 ok False
        desk send GET /healthcheck
        desk expect 503
        c2 send 1 slot-search body=b    # whatever still comes is answered as usual
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
    "the figures say what became of each request, by class": """
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
    "operators who connect and say nothing hold up no other, and wrong calls are told so": """
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
    "an old process hands over, and a key that it runs is not run by the new one": """
        c1 send 1 book-visit key=K body=a
        runtime expect start * book-visit a as X
        node send start
        runtime2 expect sync 0
        desk expect ready
        node send term
        c1 expect lastCall
        c1 send 2 health    # the node as such stays good
        c1 expect 2 ok True
        c2 send 1 book-visit key=K body=a
        c3 send 1 book-visit key=K body=b    # another body: whoever sends it is not served what was kept
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
    "a key whose run failed in the old process fails in the new one, one that never ran is run there": """
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
    "without another process a signal is a notice to drain": """
        c1 send 1 health
        c1 expect 1 ok True
        node send term
        c1 expect lastCall    # after the grace, when the owner has long heard of it
        c1 send 2 health
        c1 expect 2 ok False
        node expect left""",
    # The catalog
    "reports go on through an outage of the catalog": """
        catalog expect PUT /catalog/register/n3 passing
        catalog send answer 500
        catalog expect PUT
        node expect count catalog.failed 1
        catalog send answer 204
        catalog expect closed
        catalog expect PUT /catalog/register/n3 passing""",
    "a catalog that says when to come back is left alone until then": """
        catalog expect PUT
        catalog send answer 503 retry-after=3
        catalog expect PUT
        catalog expect closed
        catalog send answer 204
        wait 1
        catalog expect nothing    # without the advice it would be asked again after 0.4 s at most
        catalog expect PUT""",
    # New configurations
    "after a reload runs and numbers go on over the new link, calls go to the new vault": """
        catalog expect PUT
        c1 send 1 book-visit key=K body=a
        runtime expect start * book-visit a as X
        runtime send wants $X q
        vault expect ask $X q
        node send reload 2
        runtime expect closed
        runtime2 expect sync 1
        vault send $X yes late       # a call that was out ends on its old connection
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
    "new settings add a class and drop another, and what is open keeps its own": """
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
        c1 send 4 day-view body=c    # callers hear of it late
        runtime expect start * day-view c as Z
        runtime send end $Z ok r
        c1 expect 4 ok r
        runtime send end $X ok r
        c1 expect 1 ok r
        desk send GET /stats
        desk expect 200 succeeded.day-view=2 succeeded.late-view=1 forwards=3 sighup_applied=1""",
    "a key is known though its class has another deadline since": """
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
    "a file with a wrong deadline, or without a key that was there, is turned down whole": """
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
    "a second reload may lead back": """
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
    "an invalid configuration leaves the old one in service": """
        node send reload 2 runtime=nowhere
        node expect count reload.refused 1
        c1 send 1 slot-search
        runtime expect start * as X
        runtime send end $X ok r
        c1 expect 1 ok r""",
    # Leaving
    "a drain answers what is read, says lastCall and ends": """
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
    "a drain runs nothing that comes after the grace": """
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
    "a drain whose owner is busy for a second": """
        c1 send 1 slot-search
        runtime expect start * as X
        node send block owner 1.0
        c2 send 1 health
        c2 expect 1 ok True
        node send term
        wait 0.5  # past the grace; the owner does not know of the drain yet
        c2 send 2 slot-search
        runtime send end $X ok r
        c1 expect lastCall
        c1 expect 1 ok r
        c2 expect lastCall
        c2 expect 2 Full
        node expect left""",
    "a drain whose owner is busy beyond the stop: the front gives the answers that are owed": """
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
    "a drain with requests unread in buffers: they are refused, and none runs": """
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
    "a second order to drain, and a reload, change nothing about the first": """
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
    "who sends what can't be read still gets an answer to what is open": """
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
    "an id that is open already ends the connection, after an answer to the first": """
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
    "a body of many chunks reaches the worker whole": """
        a1 send POST /visits host=clinic key=K body=20000*x
        w1 expect POST /visits 20000*x
        w1 send 200 30000*y
        a1 expect 200 30000*y""",
    "a body of unknown length is asked for": """
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
    "repeat: one run for two tries over AJP": """
        a1 send POST /visits host=clinic key=K body=x
        w1 expect POST /visits x
        a2 send POST /visits host=clinic key=K body=x
        w2 expect nothing
        w1 send 201 slot-9
        a1 expect 201 slot-9
        a2 expect 201 slot-9
        node expect count runs.started 1""",
    "repeat: the platform's try runs, the one over AJP joins it": """
        c1 send 1 book-visit key=K body=x
        runtime expect start * book-visit x as X
        a1 send POST /visits key=K body=x
        runtime expect nothing
        runtime send end $X ok slot-9
        c1 expect 1 ok slot-9
        a1 expect 200 slot-9""",
    "repeat: the try over AJP runs, the platform's is served what it made": """
        a1 send POST /visits key=K body=x
        runtime expect start * book-visit x as X
        runtime send end $X ok slot-9
        a1 expect 200 slot-9
        c1 send 1 book-visit key=K body=x
        c1 expect 1 ok slot-9
        runtime expect nothing""",
    "one key of two tenants is two requests": """
        a1 send POST /visits host=clinic key=K body=x
        w1 expect POST /visits x
        a2 send POST /visits host=single key=K body=x
        w1 send 200 r
        a1 expect 200 r
        w1 expect POST /visits x
        w1 send 200 s
        a2 expect 200 s""",
    "a tenant past its own bound is refused, the others are not": """
        a1 send GET /days host=single
        w1 expect GET /days
        a2 send GET /days host=single
        w1 expect GET /days
        a3 send GET /days host=single
        a3 expect 503 Full reuse=1 retry=1
        node expect count tenant.single.refused 1
        w1 send 200 r
        a2 expect 200 r""",
    "a worker that breaks may have run it: no failover, and repeats fail too": """
        a1 send POST /visits host=clinic key=K body=x
        w1 expect POST /visits x
        w1 close
        a1 expect 500 Failed
        w2 expect nothing
        a1 send POST /visits host=clinic key=K body=x
        a1 expect 500 Failed
        w2 expect nothing""",
    "a worker that can't be reached has run nothing: the next one is tried": """
        w1 close listener
        a1 send GET /days host=clinic
        w2 expect GET /days
        w2 send 200 r
        a1 expect 200 r
        node expect count workers.unreachable 1""",
    "no worker left: refused, and the key stays free": """
        w1 close listener
        a1 send POST /visits host=single key=K body=x
        a1 expect 503 Full reuse=1 retry=1
        node expect count workers.none_left 1
        node expect count runs.moot 1""",
    "an idle worker connection that was closed is opened again": """
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
    "a response past the limit fails": """
        a1 send GET /days host=single
        w1 expect GET /days
        w1 send 200 70000*y
        a1 expect 500 Failed""",
    "AJP overload: what can't be started in time is refused with Retry-After": """
        with busy=1
        a1 send GET /x host=clinic
        w1 expect GET /x
        a2 send GET /x host=clinic
        w2 expect GET /x
        a3 send GET /days host=clinic
        a3 expect 503 Full reuse=1 retry=1
        w1 send 200 r
        a1 expect 200 r""",
    "AJP drain: what is read is answered, then the connection ends": """
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
    "the secret is asked for": """
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
    "what has no tenant, route or key is answered here": """
        a1 send GET /elsewhere host=single
        a1 expect 404
        a1 send POST /visits host=clinic body=x
        a1 expect 400
        w1 expect nothing""",
    "a long body is refused, told or not": """
        with max_body_kb=1
        a1 send POST /days host=clinic body=2000*x
        a1 expect 413
        a1 expect closed
        a2 send POST /days host=clinic chunked
        a2 expect wants body
        a2 send chunk body=2000*x
        a2 expect 413""",
    "malformed packets close that connection only": """
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
    "a tenant removed while its requests are held, running and joined, and added again within the window": """
        with busy=1
        a1 send POST /visits host=clinic key=K body=x
        w1 expect POST /visits x
        a2 send POST /visits host=clinic key=K body=x
        a3 send GET /y host=clinic    # not /days: its second is over before the rest on a busy machine
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
    "a tenant with nothing in hand is gone at once, one whose last run ends as soon as that does": """
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
    "a suspended tenant is refused while others are served, and what it has in hand goes on": """
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
    "shares are set through the API, and guarantees never add up to more than there is": """
        admin send PUT /v1/tenants/single {"backend":"w1","share":{"weight":2,"guarantee":0.7}}
        admin expect 200
        admin send PUT /v1/tenants/clinic {"backend":"both","share":{"guarantee":0.4}}
        admin expect 400 share.guarantee
        admin send PUT /v1/tenants/clinic {"backend":"both","share":{"weight":0}}
        admin expect 400 share.weight
        admin send PUT /v1/tenants/clinic {"backend":"both","share":{"classes":{"none":1}}}
        admin expect 400 share.classes.none""",
    "a full table makes room by idle connections of the address that has most": """
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
    "a tenant's bound on connections holds for it alone": """
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
    "a change that rests on an older revision is refused, one on the newest is made": """
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
    "a dry run says what would change and changes nothing": """
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
    "a POST that comes again with its key makes nothing anew, and its key makes nothing else": """
        admin send POST /v1/tenants {"name":"new","backend":"w1"} key=k1
        admin expect 201 "5" *
        admin send POST /v1/tenants {"name":"new","backend":"w1"} key=k1
        admin expect 201 "5" *
        admin send POST /v1/tenants {"name":"newer","backend":"w1"} key=k1
        admin expect 422 Idempotency-Key
        admin send POST /v1/tenants {"name":"new","backend":"w1"} key=k2
        admin expect 409 name""",
    "a tenant's token looks at its tenant only, another operator's does all and is named in the trail": """
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
    "lists come in pages, and the trail says who changed what": """
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
    "a token is needed": """
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
    "a bad tenant is answered with the field": """
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
    "workers are listed and taken out": """
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
    "other methods, paths and long bodies": """
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
    "a drain is asked for once": """
        admin send POST /v1/drain
        admin expect 202
        node expect asked
        admin send POST /v1/drain
        admin expect 409""",
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario(name: str) -> None:
    scenario.play(SCENARIOS[name])
