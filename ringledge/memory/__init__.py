"""What is kept in memory while the program runs."""
