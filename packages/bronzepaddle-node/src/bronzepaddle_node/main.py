"""Starts the ``bronzepaddled`` program."""

from bronzepaddle_node import early_reload


def main() -> None:
    """Handle SIGHUP, then import and run the program, which takes longer."""
    reload = early_reload.EarlyReload()
    from bronzepaddle_node import program

    program.main(obj=reload)


if __name__ == "__main__":
    main()
