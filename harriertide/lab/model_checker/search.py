"""The search through the states, breadth first, so that a counterexample is a shortest one."""

from __future__ import annotations

from collections import deque

from harriertide.consensus.roles import InvariantViolationError
from harriertide.lab.model_checker.actions import Action, enabled_actions
from harriertide.lab.model_checker.model_state import ModelState
from harriertide.lab.model_checker.transitions import TransitionSystem


class BreadthFirstSearch:
    """One search from one state, within two limits.

    :param state_limit: once so many states were found, no further state is expanded
    :param depth_limit: states so many actions away from the start are not expanded
    """

    def __init__(self, system: TransitionSystem, state_limit: int, depth_limit: int) -> None:
        self._system = system
        self._state_limit = state_limit
        self._depth_limit = depth_limit
        # by fingerprint: the state that it was found from, and by which action; None for the start
        self._parents: dict[int, tuple[int, Action] | None] = {}
        self.depth = 0

    @property
    def states(self) -> int:
        """How many different states were found."""
        return len(self._parents)

    def run(self, start: ModelState) -> list[str]:
        """Search until an invariant does not hold or a limit is reached.

        :returns: the counterexample: the invariant, then each action on a shortest path to where it does not
            hold; empty where all hold
        """
        fingerprint = start.fingerprint()
        self._parents = {fingerprint: None}
        queue = deque([(start, 0, fingerprint)])
        while queue:
            state, depth, fingerprint = queue.popleft()
            if depth >= self._depth_limit or self.states >= self._state_limit:
                break
            for action in enabled_actions(state):
                try:
                    successor = self._system.apply(state, action)
                except InvariantViolationError as violation:
                    return [str(violation), *self._path_to(fingerprint), str(action)]
                found = successor.fingerprint()
                if found not in self._parents:
                    self._parents[found] = (fingerprint, action)
                    self.depth = depth + 1
                    queue.append((successor, depth + 1, found))
        return []

    def _path_to(self, fingerprint: int) -> list[str]:
        path: list[str] = []
        while (parent := self._parents[fingerprint]) is not None:
            fingerprint, action = parent
            path.append(str(action))
        return path[::-1]
