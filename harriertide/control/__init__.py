"""Agreement and maintenance in a running broker: the pure packages on an event loop, a disk and a network.

===================  ===========================================================================
event_log            a log for the laboratory's checkers
environment          the disk, the network and the random numbers that a member runs on
wire                 the messages between members, as bytes
pending_calls        calls that wait for their result
disk_writer          group commit to the member's store
tree_updates         what a member sends to its children in the tree
cluster_membership   bootstrap of the cluster, and changes of its membership
member_link          what a member's role shares with the member
voter                the role of a broker with a vote and a disk
observer_member      the role of a broker without a vote or a disk
member               one broker among those that agree
ports                what maintenance asks of the reducer and the object front
node_barrier         which nodes this broker may not send to
broker_report        what this broker reports to the leader
leader_facts         what the leader gathers from reports
proposals            commands on their way to the agreed log
step_observer        what this broker has seen of each step
maintenance_service  maintenance in one broker: ties the parts together
order_preview        what would come of an order, as a plan shows it
operator_api         the operators' calls over HTTP
===================  ===========================================================================
"""
