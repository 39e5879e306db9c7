"""The whole path, as the demo takes it."""

from camphortray import demo


async def test_the_demo_ends_well(capsys):
    assert await demo.demo() == 0
    shown = capsys.readouterr().out
    assert "50 of 50 items done" in shown
    assert "24 tokens streamed" in shown
