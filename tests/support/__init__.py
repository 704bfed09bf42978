"""Small fakes at the interfaces, and a clock that tests turn."""
