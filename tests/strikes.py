"""An in-memory store of strikes for tests."""

from dataclasses import dataclass, field

from lavendergap.state.quarantine import Strike


@dataclass
class StoredStrikes:
    """Holds written strikes while it `is_up`, and records announced ones."""

    is_up: bool = True
    stored: dict[str, Strike] = field(default_factory=dict)
    announced: list[Strike] = field(default_factory=list)

    async def write_strike(self, strike: Strike) -> bool:
        if self.is_up:
            self.stored[strike.name] = strike
        return self.is_up

    async def remove_strike(self, name: str) -> bool:
        if self.is_up:
            self.stored.pop(name, None)
        return self.is_up

    def read_strike(self, name: str, body: bytes) -> Strike:
        """Read an entry whose body is only the content."""
        if not body:
            raise ValueError("expected a content")
        return Strike(
            name=name,
            content=body.decode(),
            host="a-1",
            servers=("i-1",),
            is_trial=name.endswith("trial"),
        )
