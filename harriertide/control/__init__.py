"""Raft and maintenance in a running broker: connects the I/O-free packages to event loop, disk and network.

===================  ===========================================================================
event_log            event log for the laboratory's checkers
environment          the disk, the network and the random numbers that a member runs on
wire                 the messages between members, as bytes
pending_calls        calls that await a result
disk_writer          group commit to the member's store
tree_updates         updates from a member to its children in the fan-out tree
cluster_membership   cluster bootstrap and membership changes
member_link          what a member's role shares with the member
voter                the voter role: a broker that votes and has a store
observer_member      the observer role: a broker without a vote or a store
member               one member of the Raft cluster
ports                interfaces of the reducer and the object front used by maintenance
node_barrier         the nodes to which this broker may not send
broker_report        the report of this broker to the leader
leader_facts         the facts that the leader gathers from reports
proposals            commands that are being committed to the replicated log
step_observer        phase changes as this broker observes them
maintenance_service  maintenance in one broker: connects the other modules
order_preview        the forecast of an order, as a plan shows it
operator_api         the operators' HTTP API
===================  ===========================================================================
"""
