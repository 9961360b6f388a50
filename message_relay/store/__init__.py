"""State that outlives the process: the write-ahead journal, its recovery and the destination snapshot."""
