"""Configuration in force everywhere: one agreed order of revisions, spread to every planner
(docs/fleetconfig.md).

`document` and `revision` are the data, `validation` says what is wrong with a document, `control` commits
changes on the control machines, `follower` and `source` spread them, `roster` says who follows whom and
`coverage` who has what. None of these does I/O. `store`, `control_host` and `follower_host` do.
"""
