from hazelhold.cli.main import main

main()
